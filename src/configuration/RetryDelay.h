#pragma once

#include "base/Clock.h"
#include "base/Random.h"

namespace filbertbeam {

inline constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(200);
// Caps the back-off well below the 19 s within which a configuration has to
// be in force everywhere.
inline constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);

// Time to wait after aFailures failures in a row: doubles up to the cap, and
// is spread over its upper half so that hosts do not retry in step.
Duration
RetryDelayAfter(int aFailures, Random& aRandom);

} // namespace filbertbeam
