#pragma once

#include "base/Clock.h"
#include "base/Random.h"

namespace filbertbeam {

inline constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(200);
// Caps the backoff well below the 19 s within which a configuration has to be
// in force on every host.
inline constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);

// Returns the time to wait after aFailures consecutive failures. It doubles up
// to the cap and is chosen at random from its upper half, so that hosts do not
// retry at the same time.
Duration
RetryDelayAfter(int aFailures, Random& aRandom);

} // namespace filbertbeam
