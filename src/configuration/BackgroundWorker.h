#pragma once

#include <QObject>
#include <QThreadPool>

#include <functional>

namespace filbertbeam {

// Runs aWork, possibly on another thread, and then aDone on the calling thread.
using WorkRunner =
  std::function<void(std::function<void()> aWork, std::function<void()> aDone)>;

// Runs aWork and then aDone on the calling thread, before it returns.
void
RunInline(const std::function<void()>& aWork,
          const std::function<void()>& aDone);

// Runs work on a separate thread, one item at a time, in the order of the
// calls.
class BackgroundWorker
{
public:
  BackgroundWorker();
  // Waits for the running item and discards the queued ones.
  ~BackgroundWorker();

  BackgroundWorker(const BackgroundWorker&) = delete;
  BackgroundWorker& operator=(const BackgroundWorker&) = delete;

  // Must be called on the thread that created the object. aDone is called by
  // the event loop of that thread, unless the object is destroyed before.
  void Run(std::function<void()> aWork, std::function<void()> aDone);

private:
  QObject context_;
  QThreadPool pool_;
};

} // namespace filbertbeam
