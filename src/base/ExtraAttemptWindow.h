#pragma once

#include "base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace filbertbeam {

// Counts requests, and the attempts beyond the first of each, over a sliding
// window. Where a window does not fall on whole slots, it counts extraAttempts
// that may lie before it and leaves requests out that may.
class ExtraAttemptWindow
{
public:
  explicit ExtraAttemptWindow(std::chrono::seconds aLength);

  void SetLength(std::chrono::seconds aLength) { length_ = aLength; }
  void AddRequest(Instant aNow) { ++SlotAt(aNow).requests; }
  void AddExtraAttempt(Instant aNow) { ++SlotAt(aNow).extraAttempts; }
  // Takes a repeat of aAdded out, if that is still in the window.
  void RemoveExtraAttempt(Instant aAdded);

  double Requests(Instant aNow) const;
  double ExtraAttempts(Instant aNow) const;

private:
  static constexpr std::size_t kSlots = 20;

  struct Slot
  {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t extraAttempts = 0;
  };

  std::int64_t NumberAt(Instant aNow) const;
  Slot& SlotAt(Instant aNow);
  // Age of aSlot in slots; nothing of it counts from kSlots + 1 on.
  std::int64_t AgeOf(const Slot& aSlot, Instant aNow) const;

  std::chrono::seconds length_;
  // One slot more than the window, so that any window is covered.
  std::array<Slot, kSlots + 1> slots_;
};

} // namespace filbertbeam
