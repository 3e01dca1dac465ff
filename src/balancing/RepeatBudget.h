#pragma once

#include "balancing/BurstShare.h"
#include "base/ExtraAttemptWindow.h"

namespace filbertbeam {

// What all hosts together may spend on one service.
struct RepeatBudgetLimits
{
  // Repeats per request of the window.
  double ratio = 0;
  // Repeats per window on top of that.
  double burst = 0;
  std::chrono::seconds window{ 10 };
};

// What a window holds at one moment.
struct RepeatBudgetUse
{
  double requests = 0;
  double repeats = 0;
  // Repeats that the window allows.
  double allowed = 0;
};

// One host's account of the attempts beyond the first of each request of one
// service, over any window of the length given. A request earns its share of a
// repeat at one host alone, and the bursts of all hosts are shares of one, so
// the accounts of all hosts together keep the limits, whoever chooses. A
// restart forgets an account: what needs no wait of its burst may then be spent
// again.
class RepeatBudget
{
public:
  explicit RepeatBudget(const RepeatBudgetLimits& aLimits);

  // What was spent under the former limits counts.
  void SetLimits(const RepeatBudgetLimits& aLimits);
  // This host's share of the burst, from 0 to 1, and the part of it that needs
  // no wait.
  void SetBurstShare(double aShare, double aAtOnce, Instant aNow);
  // A request for which this host chose was sent.
  void OnRequest(Instant aNow) { window_.AddRequest(aNow); }
  // Takes one repeat; false when none is left above aReserve, a share from 0 to
  // 1 of what a window allows.
  bool TryRepeat(double aReserve, Instant aNow);
  // The repeat that was taken at aTaken was not sent.
  void OnRepeatUnused(Instant aTaken) { window_.RemoveExtraAttempt(aTaken); }
  RepeatBudgetUse Use(Instant aNow) const;

private:
  RepeatBudgetLimits limits_;
  BurstShare burstShare_;
  ExtraAttemptWindow window_;
};

} // namespace filbertbeam
