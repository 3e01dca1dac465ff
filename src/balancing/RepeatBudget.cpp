#include "balancing/RepeatBudget.h"

namespace filbertbeam {

RepeatBudget::RepeatBudget(const RepeatBudgetLimits& aLimits)
  : limits_(aLimits)
  , window_(aLimits.window)
{
}

void
RepeatBudget::SetLimits(const RepeatBudgetLimits& aLimits)
{
  limits_ = aLimits;
  window_.SetLength(aLimits.window);
}

void
RepeatBudget::SetBurstShare(double aShare, double aAtOnce, Instant aNow)
{
  burstShare_.Set(aShare, aAtOnce, limits_.window, aNow);
}

bool
RepeatBudget::TryRepeat(double aReserve, Instant aNow)
{
  const RepeatBudgetUse use = Use(aNow);
  if (use.repeats + 1 > use.allowed * (1 - aReserve)) {
    return false;
  }
  window_.AddExtraAttempt(aNow);
  return true;
}

RepeatBudgetUse
RepeatBudget::Use(Instant aNow) const
{
  RepeatBudgetUse use;
  use.requests = window_.Requests(aNow);
  use.repeats = window_.ExtraAttempts(aNow);
  use.allowed =
    limits_.ratio * use.requests + limits_.burst * burstShare_.Granted(aNow);
  return use;
}

} // namespace filbertbeam
