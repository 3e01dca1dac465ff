#pragma once

#include "base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace filbertbeam {

// Counts requests, and the extra attempts beyond the first of each request,
// over a sliding window that is divided into time slots. In the oldest slot,
// which the window covers only in part, extra attempts count and requests do
// not, so that the ratio of extra attempts to requests is never underestimated.
class ExtraAttemptWindow
{
public:
  explicit ExtraAttemptWindow(std::chrono::seconds aLength);

  void SetLength(std::chrono::seconds aLength) { length_ = aLength; }
  void AddRequest(Instant aNow) { ++SlotAt(aNow).requests; }
  void AddExtraAttempt(Instant aNow) { ++SlotAt(aNow).extraAttempts; }
  // Removes an extra attempt that was added at aAdded, if its slot is still in
  // the window.
  void RemoveExtraAttempt(Instant aAdded);

  double Requests(Instant aNow) const;
  double ExtraAttempts(Instant aNow) const;

private:
  static constexpr std::size_t kSlots = 40;

  struct Slot
  {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t extraAttempts = 0;
  };

  std::int64_t NumberAt(Instant aNow) const;
  Slot& SlotAt(Instant aNow);
  // Returns the age of aSlot in slots. A slot counts for nothing from an age of
  // kSlots + 1 on.
  std::int64_t AgeOf(const Slot& aSlot, Instant aNow) const;

  std::chrono::seconds length_;
  // One slot more than the window has, as a window may begin within a slot.
  std::array<Slot, kSlots + 1> slots_;
};

} // namespace filbertbeam
