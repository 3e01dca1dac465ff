#pragma once

#include "base/Clock.h"

#include <array>
#include <cstdint>

namespace filbertbeam {

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

// Bounds the attempts beyond the first of each request of one service, over any
// window of the length given.
class RepeatBudget
{
public:
  explicit RepeatBudget(const RepeatBudgetLimits& aLimits);

  // What was spent under the former limits counts.
  void SetLimits(const RepeatBudgetLimits& aLimits) { limits_ = aLimits; }
  void OnRequest(Instant aNow);
  // Takes one repeat; false when none is left above aReserve, a share from 0 to
  // 1 of what a window allows.
  bool TryRepeat(double aReserve, Instant aNow);
  RepeatBudgetUse Use(Instant aNow) const;

private:
  static constexpr std::size_t kSlots = 20;

  struct Slot
  {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  std::int64_t NumberAt(Instant aNow) const;
  Slot& SlotAt(Instant aNow);

  RepeatBudgetLimits limits_;
  // One slot more than the window, so that any window is covered.
  std::array<Slot, kSlots + 1> slots_;
};

} // namespace filbertbeam
