#pragma once

#include "base/Clock.h"

namespace filbertbeam {

// A clock that moves only when told to, for tests and trials.
class ManualClock final : public Clock
{
public:
  Instant Now() const override;
  WallTime WallNow() const override;

  void Advance(Duration aDuration);

private:
  // Starts well after the epoch, so that "one minute ago" is a valid instant.
  Duration elapsed_ = std::chrono::hours(1);
};

} // namespace filbertbeam
