#pragma once

#include <chrono>

namespace filbertbeam {

using Duration = std::chrono::nanoseconds;
// A time of a clock that never goes back. It has no meaning outside this
// process, and Clock need not be the library's steady clock.
using Instant = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

constexpr Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

// Interface of a time source. Decision logic receives it as a dependency, so
// that tests run without sleeping.
class Clock
{
public:
  virtual ~Clock() = default;

  virtual Instant Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

} // namespace filbertbeam
