#pragma once

#include "balancing/BurstShare.h"
#include "base/ExtraAttemptWindow.h"

namespace filbertbeam {

// Limits for the extra attempts of one service, for all hosts together.
struct ExtraAttemptLimits
{
  // Extra attempts per request in the window.
  double ratio = 0;
  // Extra attempts per window, in addition to the ratio.
  double burst = 0;
  std::chrono::seconds window{ 10 };
};

// Counts of the window at one time.
struct ExtraAttemptUsage
{
  double requests = 0;
  double extraAttempts = 0;
  // Extra attempts that the window allows.
  double allowed = 0;
};

// Limits the attempts beyond the first of each request of one service that this
// host permits, over a sliding window. A request counts toward the ratio at one
// host only, and the burst shares of all hosts add up to one, so the hosts
// together stay within the limits, whichever of them selects. A restart loses
// the counts: the part of the burst that takes effect immediately may then be
// spent again.
class ExtraAttemptBudget
{
public:
  explicit ExtraAttemptBudget(const ExtraAttemptLimits& aLimits);

  // Extra attempts made under the previous limits still count.
  void SetLimits(const ExtraAttemptLimits& aLimits);
  // Sets this host's share of the burst, from 0 to 1, and the part of it that
  // takes effect immediately.
  void SetBurstShare(double aShare, double aImmediateShare, Instant aNow);
  // Counts a request that was sent to a server that this host selected.
  void OnRequest(Instant aNow) { window_.AddRequest(aNow); }
  // Takes one extra attempt from the budget and returns true, unless that would
  // leave less than aReserve, a share from 0 to 1 of what the window allows.
  bool TryAcquireExtraAttempt(double aReserve, Instant aNow);
  // Gives back the extra attempt taken at aTaken, which was not sent.
  void OnExtraAttemptUnused(Instant aTaken)
  {
    window_.RemoveExtraAttempt(aTaken);
  }
  ExtraAttemptUsage Usage(Instant aNow) const;

private:
  ExtraAttemptLimits limits_;
  BurstShare burstShare_;
  ExtraAttemptWindow window_;
};

} // namespace filbertbeam
