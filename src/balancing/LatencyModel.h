#pragma once

#include "base/Clock.h"

#include <array>

namespace filbertbeam {

// Distribution of the latencies of one route at healthy backend servers,
// learned from their responses. The weight of old responses decreases, so that
// the model follows slow changes.
class LatencyModel
{
public:
  // Starts from a broad prior that is scaled by the route's latency objective.
  explicit LatencyModel(Duration aObjective);

  void Add(Duration aLatency);

  // Probability that a healthy server takes longer than aAge; never 0.
  double Survival(Duration aAge) const;
  // The latency that the share aQuantile of the requests does not exceed.
  Duration Quantile(double aQuantile) const;
  Duration Mean() const { return std::chrono::duration_cast<Duration>(mean_); }

private:
  static constexpr std::size_t kBins = 48;

  static std::size_t BinOf(double aSeconds);
  static double BinEdge(std::size_t aBin);
  void AddSample(double aSeconds, double aWeight);

  std::array<double, kBins> weights_{};
  double total_ = 0;
  std::chrono::duration<double> mean_{ 0 };
};

} // namespace filbertbeam
