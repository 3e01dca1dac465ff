#pragma once

#include "balancing/Selection.h"
#include "base/Clock.h"

#include <array>
#include <cstddef>

namespace filbertbeam {

// A request that asks for an extra attempt.
struct ExtraAttemptCandidate
{
  AttemptPurpose purpose = AttemptPurpose::Retry;
  // 0 is the highest priority.
  int priority = 0;
  // Probability that a healthy server responds in the time left.
  double inTimeProbability = 1;
};

// Decides which requests of one service get the extra attempts when there are
// too few for all. Candidates that are likely to be too late come last, before
// them hedges, since their first attempt may still succeed, and first retries;
// among equals the higher priority goes first. A candidate leaves as many extra
// attempts as those before it asked for lately, so nothing is kept for
// candidates that don't exist.
class ExtraAttemptOrder
{
public:
  // Notes that aCandidate asks for an extra attempt, and returns the number of
  // extra attempts that it must leave for others.
  double OnRequested(const ExtraAttemptCandidate& aCandidate, Instant aNow);

private:
  static constexpr std::size_t kPriorities = 8;
  // Retries, hedges, and those of both that are likely to be too late.
  static constexpr std::size_t kKinds = 3;

  // Number of candidates asking within about kDemandTime.
  struct Demand
  {
    double count = 0;
    Instant updatedAt;
  };

  static std::size_t RankOf(const ExtraAttemptCandidate& aCandidate);
  static double CountAt(const Demand& aDemand, Instant aNow);

  // By rank; the first goes first.
  std::array<Demand, kKinds * kPriorities> demands_;
};

} // namespace filbertbeam
