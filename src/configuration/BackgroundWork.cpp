#include "configuration/BackgroundWork.h"

#include <utility>

namespace filbertbeam {

void
RunAtOnce(const std::function<void()>& aWork,
          const std::function<void()>& aDone)
{
  aWork();
  aDone();
}

BackgroundWork::BackgroundWork()
{
  pool_.setMaxThreadCount(1);
}

BackgroundWork::~BackgroundWork()
{
  pool_.clear();
  pool_.waitForDone();
}

void
BackgroundWork::Run(std::function<void()> aWork, std::function<void()> aDone)
{
  pool_.start([this, work = std::move(aWork), done = std::move(aDone)] {
    work();
    QMetaObject::invokeMethod(&context_, done, Qt::QueuedConnection);
  });
}

} // namespace filbertbeam
