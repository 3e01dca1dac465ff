#pragma once

#include "base/Clock.h"

namespace filbertbeam {

// Reads the clocks of the operating system. Now() includes the time for which
// the machine was suspended.
class SystemClock final : public Clock
{
public:
  Instant Now() const override;
  WallTime WallNow() const override;
};

} // namespace filbertbeam
