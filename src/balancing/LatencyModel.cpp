#include "balancing/LatencyModel.h"

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

// The end of each bin is kBinGrowth times that of the previous one. The first
// bin ends at kMinLatencySeconds times kBinGrowth; 48 bins reach 45 s.
constexpr double kMinLatencySeconds = 0.002;
constexpr double kBinGrowth = 1.235;
// The prior weighs as much as this many responses.
constexpr double kPriorWeight = 12;
// Above this total weight, the weights of older responses are halved.
constexpr double kMaxWeight = 400;
// Share of the requests that take extremely long at a healthy server. Limits
// how much evidence one slow request can be against its server.
constexpr double kExtremeLatencyShare = 0.008;

// Latencies of the prior as shares of the objective, with their weights.
struct PriorPoint
{
  double shareOfObjective;
  double weight;
};
constexpr std::array<PriorPoint, 6> kPriorPoints{ { { 0.1, 0.12 },
                                                    { 0.2, 0.30 },
                                                    { 0.3, 0.30 },
                                                    { 0.45, 0.18 },
                                                    { 0.7, 0.07 },
                                                    { 1.2, 0.03 } } };

} // namespace

LatencyModel::LatencyModel(Duration aObjective)
{
  const double objective = std::chrono::duration<double>(aObjective).count();
  for (const PriorPoint& point : kPriorPoints) {
    AddSample(std::max(objective, 0.01) * point.shareOfObjective,
              kPriorWeight * point.weight);
  }
}

void
LatencyModel::Add(Duration aLatency)
{
  if (total_ > kMaxWeight) {
    for (double& weight : weights_) {
      weight /= 2;
    }
    total_ /= 2;
  }
  AddSample(std::chrono::duration<double>(aLatency).count(), 1);
}

void
LatencyModel::AddSample(double aSeconds, double aWeight)
{
  weights_[BinOf(aSeconds)] += aWeight;
  mean_ = std::chrono::duration<double>(
    (mean_.count() * total_ + aSeconds * aWeight) / (total_ + aWeight));
  total_ += aWeight;
}

double
LatencyModel::Survival(Duration aAge) const
{
  const double seconds = std::chrono::duration<double>(aAge).count();
  const std::size_t bin = BinOf(seconds);
  double above = 0;
  for (std::size_t i = bin + 1; i < kBins; ++i) {
    above += weights_[i];
  }
  const double low = BinEdge(bin);
  const double high = BinEdge(bin + 1);
  const double fraction = std::clamp((high - seconds) / (high - low), 0.0, 1.0);
  above += weights_[bin] * fraction;
  return kExtremeLatencyShare + (1 - kExtremeLatencyShare) * above / total_;
}

Duration
LatencyModel::Quantile(double aQuantile) const
{
  double below = 0;
  for (std::size_t i = 0; i < kBins; ++i) {
    if (below + weights_[i] >= aQuantile * total_ && weights_[i] > 0) {
      const double fraction = (aQuantile * total_ - below) / weights_[i];
      const double seconds =
        BinEdge(i) + (BinEdge(i + 1) - BinEdge(i)) * std::max(fraction, 0.0);
      return FromSeconds(seconds);
    }
    below += weights_[i];
  }
  return FromSeconds(BinEdge(kBins));
}

std::size_t
LatencyModel::BinOf(double aSeconds)
{
  if (aSeconds <= kMinLatencySeconds) {
    return 0;
  }
  const double bin =
    std::log(aSeconds / kMinLatencySeconds) / std::log(kBinGrowth);
  return std::min(static_cast<std::size_t>(bin), kBins - 1);
}

double
LatencyModel::BinEdge(std::size_t aBin)
{
  return aBin == 0 ? 0 : kMinLatencySeconds * std::pow(kBinGrowth, aBin);
}

} // namespace filbertbeam
