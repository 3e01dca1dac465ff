#include "base/WorkerThread.h"

#include <QMetaObject>
#include <QString>

#include <utility>

namespace filbertbeam {

WorkerThread::WorkerThread(std::string_view aName)
  : context_(std::make_unique<QObject>())
{
  thread_.setObjectName(
    QString::fromUtf8(aName.data(), static_cast<qsizetype>(aName.size())));
  context_->moveToThread(&thread_);
  thread_.start();
}

WorkerThread::~WorkerThread()
{
  thread_.quit();
  thread_.wait();
}

void
WorkerThread::Post(std::function<void()> aFunction)
{
  QMetaObject::invokeMethod(
    context_.get(), std::move(aFunction), Qt::QueuedConnection);
}

void
WorkerThread::Run(const std::function<void()>& aFunction)
{
  QMetaObject::invokeMethod(
    context_.get(), aFunction, Qt::BlockingQueuedConnection);
}

} // namespace filbertbeam
