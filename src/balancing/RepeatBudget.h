#pragma once

#include "balancing/BurstShare.h"

#include <array>
#include <cstdint>

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
// the accounts of all hosts together never exceed the limits, whoever chooses.
class RepeatBudget
{
public:
  explicit RepeatBudget(const RepeatBudgetLimits& aLimits);

  // What was spent under the former limits counts.
  void SetLimits(const RepeatBudgetLimits& aLimits) { limits_ = aLimits; }
  // This host's share of the burst, from 0 to 1, and the part of it that needs
  // no wait.
  void SetBurstShare(double aShare, double aAtOnce, Instant aNow);
  // A request for which this host chose was sent.
  void OnRequest(Instant aNow);
  // Takes one repeat; false when none is left above aReserve, a share from 0 to
  // 1 of what a window allows.
  bool TryRepeat(double aReserve, Instant aNow);
  // The repeat that was taken at aTaken was not sent.
  void OnRepeatUnused(Instant aTaken);
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
  BurstShare burstShare_;
  // One slot more than the window, so that any window is covered.
  std::array<Slot, kSlots + 1> slots_;
};

} // namespace filbertbeam
