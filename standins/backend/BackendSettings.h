#pragma once

#include <chrono>
#include <cstdint>

namespace filbertbeam {

// How the simulated backend server behaves when it is healthy.
struct BackendSettings
{
  int slots = 4;
  // Answers a request that finds no free slot.
  int shedStatus = 503;
  // Median and spread (sigma of the logarithm) of the service time.
  std::chrono::microseconds serviceTime{ 5'000 };
  double serviceTimeSigma = 0.3;
  std::uint64_t seed = 1;
  // After its start, service takes coldFactor times as long.
  std::chrono::milliseconds coldTime{ 0 };
  double coldFactor = 5;
  // /health answers 200 in every mode unless this is set.
  bool honestHealth = false;
  // /load reports the load as it was this long ago.
  std::chrono::milliseconds loadLag{ 1'000 };
  // /load reports this number of busy slots instead, when not negative.
  int reportedLoad = -1;
};

} // namespace filbertbeam
