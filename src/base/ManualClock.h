#pragma once

#include "base/Clock.h"

namespace filbertbeam {

// A clock that advances only by calls of Advance, for tests and simulations.
class ManualClock final : public Clock
{
public:
  Instant Now() const override;
  WallTime WallNow() const override;

  void Advance(Duration aDuration);

private:
  // Starts one hour after the epoch, so that times before the start, such as
  // one minute earlier, are valid.
  Duration elapsed_ = std::chrono::hours(1);
};

} // namespace filbertbeam
