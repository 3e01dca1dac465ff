#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace filbertbeam {

// Measures whether bytes move at a minimal rate. The rate is averaged over
// windows of one grace period, so that a fast beginning does not allow a long
// standstill later.
class ProgressWindow
{
public:
  // Starts the first window at the next Check.
  void Reset() { isOpen_ = false; }
  void AddBytes(std::size_t aBytes) { bytes_ += aBytes; }

  // Returns false when the current window is over and too few bytes moved
  // within it.
  bool Check(Instant aNow, Duration aWindow, std::size_t aBytesPerSecond);

private:
  bool isOpen_ = false;
  Instant begin_;
  std::uint64_t bytes_ = 0;
};

} // namespace filbertbeam
