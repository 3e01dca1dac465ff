#pragma once

#include "base/Clock.h"

namespace filbertbeam {

// Reads the clocks of the operating system.
class SystemClock final : public Clock
{
public:
  Instant Now() const override;
  WallTime WallNow() const override;
};

} // namespace filbertbeam
