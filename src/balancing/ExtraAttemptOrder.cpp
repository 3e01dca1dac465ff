#include "balancing/ExtraAttemptOrder.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace filbertbeam {

namespace {

// Candidates leave the demand of this time for those that go before them.
constexpr std::chrono::duration<double> kDemandTime{ 1 };
// Candidates below this probability are likely to be too late.
constexpr double kMinInTimeProbability = 0.3;

} // namespace

double
ExtraAttemptOrder::OnRequested(const ExtraAttemptCandidate& aCandidate,
                               Instant aNow)
{
  const std::size_t rank = RankOf(aCandidate);
  double before = 0;
  for (std::size_t other = 0; other < rank; ++other) {
    before += CountAt(demands_[other], aNow);
  }
  Demand& demand = demands_[rank];
  demand = { CountAt(demand, aNow) + 1, aNow };
  return before;
}

std::size_t
ExtraAttemptOrder::RankOf(const ExtraAttemptCandidate& aCandidate)
{
  const auto priority = static_cast<std::size_t>(
    std::clamp(aCandidate.priority, 0, static_cast<int>(kPriorities) - 1));
  std::size_t kind = aCandidate.purpose == AttemptPurpose::Hedge ? 1 : 0;
  if (aCandidate.inTimeProbability < kMinInTimeProbability) {
    kind = kKinds - 1;
  }
  return kind * kPriorities + priority;
}

double
ExtraAttemptOrder::CountAt(const Demand& aDemand, Instant aNow)
{
  const std::chrono::duration<double> age = aNow - aDemand.updatedAt;
  return aDemand.count * std::exp(-age / kDemandTime);
}

} // namespace filbertbeam
