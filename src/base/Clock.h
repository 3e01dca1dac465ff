#pragma once

#include <chrono>

namespace filbertbeam {

using Duration = std::chrono::nanoseconds;
// A point of the monotonic clock; it has no meaning outside this process.
using Instant = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

constexpr Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

// Source of time. Decision logic takes it from outside, so that tests run
// without sleeping.
class Clock
{
public:
  virtual ~Clock() = default;

  virtual Instant Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

} // namespace filbertbeam
