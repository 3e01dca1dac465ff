#pragma once

#include <QCoreApplication>
#include <QTimer>

#include <chrono>
#include <functional>

namespace filbertbeam::testing {

// Runs the event loop until aCondition holds. Returns false if that takes
// longer than aLimit.
inline bool
WaitUntil(const std::function<bool()>& aCondition,
          std::chrono::milliseconds aLimit = std::chrono::seconds(10))
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  QTimer wakeUp;
  wakeUp.start(std::chrono::milliseconds(5));
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return true;
}

// Runs the event loop for aTime, to check that something does not happen.
inline void
RunFor(std::chrono::milliseconds aTime)
{
  WaitUntil([] { return false; }, aTime);
}

} // namespace filbertbeam::testing
