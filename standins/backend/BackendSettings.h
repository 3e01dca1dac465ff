#pragma once

#include <chrono>
#include <cstdint>

namespace filbertbeam {

// The behaviour of the simulated backend server while it is healthy.
struct BackendSettings
{
  int slots = 4;
  // Status code of the response to a request that finds no free slot.
  int shedStatus = 503;
  // Median of the service time, and standard deviation of its logarithm.
  std::chrono::microseconds serviceTime{ 5'000 };
  double serviceTimeSigma = 0.3;
  std::uint64_t seed = 1;
  // Service times are multiplied by coldFactor for coldTime after the start.
  std::chrono::milliseconds coldTime{ 0 };
  double coldFactor = 5;
  // /health responds with 200 in every gray mode unless this is set.
  bool honestHealth = false;
  // /load reports the number of busy slots as it was this long ago.
  std::chrono::milliseconds loadLag{ 1'000 };
  // /load always reports this number of busy slots, unless it is negative.
  int reportedLoad = -1;
};

} // namespace filbertbeam
