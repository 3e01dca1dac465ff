#include "base/RepeatWindow.h"

#include <limits>

namespace filbertbeam {

RepeatWindow::RepeatWindow(std::chrono::seconds aLength)
  : length_(aLength)
{
}

void
RepeatWindow::RemoveRepeat(Instant aAdded)
{
  const std::int64_t number = NumberAt(aAdded);
  Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
  if (slot.number == number && slot.repeats > 0) {
    --slot.repeats;
  }
}

double
RepeatWindow::Requests(Instant aNow) const
{
  double requests = 0;
  for (const Slot& slot : slots_) {
    if (AgeOf(slot, aNow) < static_cast<std::int64_t>(kSlots)) {
      requests += slot.requests;
    }
  }
  return requests;
}

double
RepeatWindow::Repeats(Instant aNow) const
{
  double repeats = 0;
  for (const Slot& slot : slots_) {
    if (AgeOf(slot, aNow) <= static_cast<std::int64_t>(kSlots)) {
      repeats += slot.repeats;
    }
  }
  return repeats;
}

std::int64_t
RepeatWindow::NumberAt(Instant aNow) const
{
  const auto slot = std::chrono::duration_cast<Duration>(length_) /
                    static_cast<std::int64_t>(kSlots);
  return aNow.time_since_epoch() / slot;
}

RepeatWindow::Slot&
RepeatWindow::SlotAt(Instant aNow)
{
  const std::int64_t number = NumberAt(aNow);
  Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
  if (slot.number != number) {
    slot = { number, 0, 0 };
  }
  return slot;
}

std::int64_t
RepeatWindow::AgeOf(const Slot& aSlot, Instant aNow) const
{
  return aSlot.number < 0 ? std::numeric_limits<std::int64_t>::max()
                          : NumberAt(aNow) - aSlot.number;
}

} // namespace filbertbeam
