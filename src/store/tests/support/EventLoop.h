#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

#include <chrono>
#include <functional>

namespace filbertbeam {

// Runs the Qt event loop until aCondition holds; false after aTimeout.
inline bool
RunUntil(const std::function<bool()>& aCondition,
         std::chrono::milliseconds aTimeout = std::chrono::seconds(10))
{
  QElapsedTimer elapsed;
  elapsed.start();
  // Wakes the loop up, so that the timeout is noticed without other events.
  QTimer tick;
  tick.start(1);
  while (!aCondition()) {
    if (elapsed.hasExpired(aTimeout.count())) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return true;
}

// Runs the Qt event loop for aTime.
inline void
RunFor(std::chrono::milliseconds aTime)
{
  RunUntil([] { return false; }, aTime);
}

} // namespace filbertbeam
