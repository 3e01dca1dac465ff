#pragma once

#include "base/Random.h"

#include <cstddef>
#include <string_view>

namespace filbertbeam {

enum class FaultKind
{
  None,
  // Every service time is multiplied by 5.
  SlowFiveTimes,
  // Every service time is doubled.
  HalfSpeed,
  // 30% of the requests fail.
  Errors,
  // Every request of customer 0 fails.
  ErrorsForOneCustomer,
  // Bursts of 1 s, 10 s apart on average, in which half of the requests fail.
  Intermittent,
  // Every request fails at once for 5 s, then none for 5 s, and so on.
  Flapping,
  // Requests are accepted and never answered.
  BlackHole,
  // The server leaves, enters again, and is four times slower at first, less
  // so over 10 s.
  ColdStart,
  // Callers offer 1.5 times the capacity; servers are 1.5 times slower and
  // shed 10%.
  Overload,
  // All servers of the shard are five times slower.
  WholeShardSlow,
  // All servers of the shard fail 30%.
  WholeShardErrors,
  // Customer 0 reads each response for 5 s.
  SlowCallers,
};

std::string_view
FaultName(FaultKind aKind);

// Whether the faulty server ought to be ejected.
bool
ShouldBeEjected(FaultKind aKind);

// What a fault does to one request.
struct FaultEffect
{
  double timeFactor = 1;
  bool fails = false;
  bool sheds = false;
  bool hangs = false;
};

// The fault of server 0 (or of all servers) of a shard.
class FaultModel
{
public:
  explicit FaultModel(FaultKind aKind)
    : kind_(aKind)
  {
  }

  FaultKind Kind() const { return kind_; }

  // aElapsed is the time in seconds since the fault began; below zero, there
  // is no effect.
  FaultEffect EffectOn(std::size_t aServer,
                       std::size_t aCustomer,
                       double aElapsed,
                       Random& aRandom);

private:
  FaultKind kind_;
  double burstStart_ = 0;
};

} // namespace filbertbeam
