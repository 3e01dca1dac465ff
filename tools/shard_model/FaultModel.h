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
  // Half of the requests fail in bursts of 1 s, 10 s apart on average.
  Intermittent,
  // Alternates between 5 s in which every request fails immediately and 5 s in
  // which none fails.
  Flapping,
  // Requests are accepted and never receive a response.
  BlackHole,
  // The server is removed and added again. Its service times are multiplied by
  // 4 at first, a factor that falls to 1 over 10 s.
  ColdStart,
  // Callers offer 1.5 times the capacity. Service times are multiplied by 1.5
  // and servers shed 10% of the requests.
  Overload,
  // The service times of all servers of the shard are multiplied by 5.
  WholeShardSlow,
  // All servers of the shard fail 30% of the requests.
  WholeShardErrors,
  // Customer 0 takes 5 s to read each response.
  SlowCallers,
};

std::string_view
FaultName(FaultKind aKind);

// Returns whether the fault is a gray failure of one server, which a detection
// has to eject.
bool
ShouldBeEjected(FaultKind aKind);

// The effect of a fault on one request.
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

  // Returns the effect on one request. aElapsed is the time in seconds since
  // the start of the fault; a negative time has no effect.
  FaultEffect EffectOn(std::size_t aServer,
                       std::size_t aCustomer,
                       double aElapsed,
                       Random& aRandom);

private:
  FaultKind kind_;
  double burstStart_ = 0;
};

} // namespace filbertbeam
