#pragma once

#include "balancing/BurstShare.h"
#include "base/RepeatWindow.h"

namespace filbertbeam {

// What all hosts together may spend on one service.
struct ExtraAttemptLimits
{
  // Repeats per request of the window.
  double ratio = 0;
  // Repeats per window on top of that.
  double burst = 0;
  std::chrono::seconds window{ 10 };
};

// What a window holds at one moment.
struct ExtraAttemptUsage
{
  double requests = 0;
  double extraAttempts = 0;
  // Repeats that the window allows.
  double allowed = 0;
};

// One host's account of the attempts beyond the first of each request of one
// service, over any window of the length given. A request earns its share of a
// repeat at one host alone, and the bursts of all hosts are shares of one, so
// the accounts of all hosts together keep the limits, whoever chooses. A
// restart forgets an account: what needs no wait of its burst may then be spent
// again.
class ExtraAttemptBudget
{
public:
  explicit ExtraAttemptBudget(const ExtraAttemptLimits& aLimits);

  // What was spent under the former limits counts.
  void SetLimits(const ExtraAttemptLimits& aLimits);
  // This host's share of the burst, from 0 to 1, and the part of it that needs
  // no wait.
  void SetBurstShare(double aShare, double aImmediateShare, Instant aNow);
  // A request for which this host chose was sent.
  void OnRequest(Instant aNow) { window_.AddRequest(aNow); }
  // Takes one repeat; false when none is left above aReserve, a share from 0 to
  // 1 of what a window allows.
  bool TryAcquireExtraAttempt(double aReserve, Instant aNow);
  // The repeat that was taken at aTaken was not sent.
  void OnExtraAttemptUnused(Instant aTaken) { window_.RemoveRepeat(aTaken); }
  ExtraAttemptUsage Use(Instant aNow) const;

private:
  ExtraAttemptLimits limits_;
  BurstShare burstShare_;
  RepeatWindow window_;
};

} // namespace filbertbeam
