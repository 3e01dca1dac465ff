#pragma once

#include <QObject>
#include <QThreadPool>

#include <functional>

namespace filbertbeam {

// Runs aWork, possibly on another thread, and then aDone on the thread that
// gave the work.
using WorkRunner =
  std::function<void(std::function<void()> aWork, std::function<void()> aDone)>;

// Runs both at once, on the calling thread.
void
RunInline(const std::function<void()>& aWork,
          const std::function<void()>& aDone);

// Runs work on one thread of its own, in the order it was given.
class BackgroundWorker
{
public:
  BackgroundWorker();
  // Waits for work that is running; drops what follows it.
  ~BackgroundWorker();

  BackgroundWorker(const BackgroundWorker&) = delete;
  BackgroundWorker& operator=(const BackgroundWorker&) = delete;

  // Call it on the thread that created the object; aDone comes from the event
  // loop of that thread, unless the object is destroyed before.
  void Run(std::function<void()> aWork, std::function<void()> aDone);

private:
  QObject context_;
  QThreadPool pool_;
};

} // namespace filbertbeam
