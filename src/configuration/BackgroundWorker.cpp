#include "configuration/BackgroundWorker.h"

#include <utility>

namespace filbertbeam {

void
RunInline(const std::function<void()>& aWork,
          const std::function<void()>& aDone)
{
  aWork();
  aDone();
}

BackgroundWorker::BackgroundWorker()
{
  pool_.setMaxThreadCount(1);
}

BackgroundWorker::~BackgroundWorker()
{
  pool_.clear();
  pool_.waitForDone();
}

void
BackgroundWorker::Run(std::function<void()> aWork, std::function<void()> aDone)
{
  pool_.start([this, work = std::move(aWork), done = std::move(aDone)] {
    work();
    QMetaObject::invokeMethod(&context_, done, Qt::QueuedConnection);
  });
}

} // namespace filbertbeam
