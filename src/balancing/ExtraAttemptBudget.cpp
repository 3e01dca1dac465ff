#include "balancing/ExtraAttemptBudget.h"

namespace filbertbeam {

ExtraAttemptBudget::ExtraAttemptBudget(const ExtraAttemptLimits& aLimits)
  : limits_(aLimits)
  , window_(aLimits.window)
{
}

void
ExtraAttemptBudget::SetLimits(const ExtraAttemptLimits& aLimits)
{
  limits_ = aLimits;
  window_.SetLength(aLimits.window);
}

void
ExtraAttemptBudget::SetBurstShare(double aShare,
                                  double aImmediateShare,
                                  Instant aNow)
{
  burstShare_.Set(aShare, aImmediateShare, limits_.window, aNow);
}

bool
ExtraAttemptBudget::TryAcquireExtraAttempt(double aReserve, Instant aNow)
{
  const ExtraAttemptUsage use = Usage(aNow);
  if (use.extraAttempts + 1 > use.allowed * (1 - aReserve)) {
    return false;
  }
  window_.AddExtraAttempt(aNow);
  return true;
}

ExtraAttemptUsage
ExtraAttemptBudget::Usage(Instant aNow) const
{
  ExtraAttemptUsage use;
  use.requests = window_.Requests(aNow);
  use.extraAttempts = window_.ExtraAttempts(aNow);
  use.allowed =
    limits_.ratio * use.requests + limits_.burst * burstShare_.Granted(aNow);
  return use;
}

} // namespace filbertbeam
