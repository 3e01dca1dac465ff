#pragma once

#include <QObject>
#include <QThread>

#include <functional>
#include <memory>
#include <string_view>

namespace filbertbeam {

// A thread with a Qt event loop that runs posted functions in order.
class WorkerThread
{
public:
  explicit WorkerThread(std::string_view aName);
  ~WorkerThread();
  WorkerThread(const WorkerThread&) = delete;
  WorkerThread& operator=(const WorkerThread&) = delete;

  // Queues aFunction to run on the thread and returns without waiting for it.
  void Post(std::function<void()> aFunction);

  // Runs aFunction on the thread and waits until it returns. Must not be called
  // from that thread.
  void Run(const std::function<void()>& aFunction);

private:
  QThread thread_;
  // Receives the posted functions; belongs to the thread.
  std::unique_ptr<QObject> context_;
};

} // namespace filbertbeam
