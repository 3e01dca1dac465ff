#pragma once

#include <QObject>
#include <QThread>

#include <functional>
#include <memory>
#include <string_view>

namespace filbertbeam {

// A thread with a Qt event loop that runs functions posted to it in order.
class WorkerThread
{
public:
  explicit WorkerThread(std::string_view aName);
  ~WorkerThread();
  WorkerThread(const WorkerThread&) = delete;
  WorkerThread& operator=(const WorkerThread&) = delete;

  // Runs aFunction on the thread, some time later.
  void Post(std::function<void()> aFunction);

  // Runs aFunction on the thread and waits for its end. Not to be called from
  // that thread.
  void Run(const std::function<void()>& aFunction);

private:
  QThread thread_;
  // Lives on the thread; the receiver of posted functions.
  std::unique_ptr<QObject> context_;
};

} // namespace filbertbeam
