#include "base/ExtraAttemptWindow.h"

#include <limits>

namespace filbertbeam {

ExtraAttemptWindow::ExtraAttemptWindow(std::chrono::seconds aLength)
  : length_(aLength)
{
}

void
ExtraAttemptWindow::RemoveExtraAttempt(Instant aAdded)
{
  const std::int64_t number = NumberAt(aAdded);
  Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
  if (slot.number == number && slot.extraAttempts > 0) {
    --slot.extraAttempts;
  }
}

double
ExtraAttemptWindow::Requests(Instant aNow) const
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
ExtraAttemptWindow::ExtraAttempts(Instant aNow) const
{
  double extraAttempts = 0;
  for (const Slot& slot : slots_) {
    if (AgeOf(slot, aNow) <= static_cast<std::int64_t>(kSlots)) {
      extraAttempts += slot.extraAttempts;
    }
  }
  return extraAttempts;
}

std::int64_t
ExtraAttemptWindow::NumberAt(Instant aNow) const
{
  const auto slot = std::chrono::duration_cast<Duration>(length_) /
                    static_cast<std::int64_t>(kSlots);
  return aNow.time_since_epoch() / slot;
}

ExtraAttemptWindow::Slot&
ExtraAttemptWindow::SlotAt(Instant aNow)
{
  const std::int64_t number = NumberAt(aNow);
  Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
  if (slot.number != number) {
    slot = { number, 0, 0 };
  }
  return slot;
}

std::int64_t
ExtraAttemptWindow::AgeOf(const Slot& aSlot, Instant aNow) const
{
  return aSlot.number < 0 ? std::numeric_limits<std::int64_t>::max()
                          : NumberAt(aNow) - aSlot.number;
}

} // namespace filbertbeam
