#include "balancing/RepeatBudget.h"

namespace filbertbeam {

RepeatBudget::RepeatBudget(const RepeatBudgetLimits& aLimits)
  : limits_(aLimits)
{
}

void
RepeatBudget::OnRequest(Instant aNow)
{
  ++SlotAt(aNow).requests;
}

bool
RepeatBudget::TryRepeat(double aReserve, Instant aNow)
{
  Slot& current = SlotAt(aNow);
  double requests = 0;
  double repeats = 0;
  for (const Slot& slot : slots_) {
    const std::int64_t age = current.number - slot.number;
    if (slot.number < 0 || age > static_cast<std::int64_t>(kSlots)) {
      continue;
    }
    repeats += slot.repeats;
    // The oldest slot may lie outside a window that ends now.
    if (age < static_cast<std::int64_t>(kSlots)) {
      requests += slot.requests;
    }
  }
  const double allowed = limits_.ratio * requests + limits_.burst;
  if (repeats + 1 > allowed * (1 - aReserve)) {
    return false;
  }
  ++current.repeats;
  return true;
}

RepeatBudget::Slot&
RepeatBudget::SlotAt(Instant aNow)
{
  const auto length = std::chrono::duration_cast<Duration>(limits_.window) /
                      static_cast<std::int64_t>(kSlots);
  const std::int64_t number = aNow.time_since_epoch() / length;
  Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
  if (slot.number != number) {
    slot = { number, 0, 0 };
  }
  return slot;
}

} // namespace filbertbeam
