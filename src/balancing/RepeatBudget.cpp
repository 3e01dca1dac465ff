#include "balancing/RepeatBudget.h"

namespace filbertbeam {

RepeatBudget::RepeatBudget(const RepeatBudgetLimits& aLimits)
  : limits_(aLimits)
{
}

void
RepeatBudget::SetBurstShare(double aShare, double aAtOnce, Instant aNow)
{
  burstShare_.Set(aShare, aAtOnce, limits_.window, aNow);
}

void
RepeatBudget::OnRequest(Instant aNow)
{
  ++SlotAt(aNow).requests;
}

bool
RepeatBudget::TryRepeat(double aReserve, Instant aNow)
{
  const RepeatBudgetUse use = Use(aNow);
  if (use.repeats + 1 > use.allowed * (1 - aReserve)) {
    return false;
  }
  ++SlotAt(aNow).repeats;
  return true;
}

void
RepeatBudget::OnRepeatUnused(Instant aTaken)
{
  const std::int64_t number = NumberAt(aTaken);
  Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
  if (slot.number == number && slot.repeats > 0) {
    --slot.repeats;
  }
}

RepeatBudgetUse
RepeatBudget::Use(Instant aNow) const
{
  const std::int64_t current = NumberAt(aNow);
  RepeatBudgetUse use;
  for (const Slot& slot : slots_) {
    const std::int64_t age = current - slot.number;
    if (slot.number < 0 || age > static_cast<std::int64_t>(kSlots)) {
      continue;
    }
    use.repeats += slot.repeats;
    // The oldest slot may lie outside a window that ends now.
    if (age < static_cast<std::int64_t>(kSlots)) {
      use.requests += slot.requests;
    }
  }
  use.allowed =
    limits_.ratio * use.requests + limits_.burst * burstShare_.Granted(aNow);
  return use;
}

std::int64_t
RepeatBudget::NumberAt(Instant aNow) const
{
  const auto length = std::chrono::duration_cast<Duration>(limits_.window) /
                      static_cast<std::int64_t>(kSlots);
  return aNow.time_since_epoch() / length;
}

RepeatBudget::Slot&
RepeatBudget::SlotAt(Instant aNow)
{
  const std::int64_t number = NumberAt(aNow);
  Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
  if (slot.number != number) {
    slot = { number, 0, 0 };
  }
  return slot;
}

} // namespace filbertbeam
