#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace filbertbeam {

// Checks that bytes are transferred at a minimum rate. The rate is averaged
// over windows of one grace period, so that a fast start does not allow a long
// stall later.
class ProgressWindow
{
public:
  // Discards the current window; the next Check starts a new one.
  void Reset() { isOpen_ = false; }
  void AddBytes(std::size_t aBytes) { bytes_ += aBytes; }

  // Returns false if the current window has ended and too few bytes were
  // transferred within it.
  bool Check(Instant aNow, Duration aWindow, std::size_t aBytesPerSecond);

private:
  bool isOpen_ = false;
  Instant begin_;
  std::uint64_t bytes_ = 0;
};

} // namespace filbertbeam
