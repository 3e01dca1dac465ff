#include "shard_model/FaultModel.h"

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

constexpr double kErrorShare = 0.3;
constexpr double kBurstSeconds = 1;
constexpr double kMeanBurstGapSeconds = 10;
constexpr double kFlapSeconds = 5;
// Duration of a refused connection as a share of a service time.
constexpr double kFastFailureFactor = 0.02;
constexpr double kColdSeconds = 10;
constexpr double kColdFactor = 4;

} // namespace

std::string_view
FaultName(FaultKind aKind)
{
  switch (aKind) {
    case FaultKind::None:
      return "healthy";
    case FaultKind::SlowFiveTimes:
      return "slow x5";
    case FaultKind::HalfSpeed:
      return "half-speed";
    case FaultKind::Errors:
      return "errors 30%";
    case FaultKind::ErrorsForOneCustomer:
      return "errors for one customer";
    case FaultKind::Intermittent:
      return "intermittent";
    case FaultKind::Flapping:
      return "flapping 5 s/5 s";
    case FaultKind::BlackHole:
      return "black hole";
    case FaultKind::ColdStart:
      return "cold start";
    case FaultKind::Overload:
      return "overload";
    case FaultKind::WholeShardSlow:
      return "whole shard slow";
    case FaultKind::WholeShardErrors:
      return "whole shard errors";
    case FaultKind::SlowCallers:
      return "slow callers";
  }
  return "";
}

bool
ShouldBeEjected(FaultKind aKind)
{
  switch (aKind) {
    case FaultKind::SlowFiveTimes:
    case FaultKind::HalfSpeed:
    case FaultKind::Errors:
    case FaultKind::ErrorsForOneCustomer:
    case FaultKind::Intermittent:
    case FaultKind::Flapping:
    case FaultKind::BlackHole:
      return true;
    case FaultKind::None:
    case FaultKind::ColdStart:
    case FaultKind::Overload:
    case FaultKind::WholeShardSlow:
    case FaultKind::WholeShardErrors:
    case FaultKind::SlowCallers:
      return false;
  }
  return false;
}

FaultEffect
FaultModel::EffectOn(std::size_t aServer,
                     std::size_t aCustomer,
                     double aElapsed,
                     Random& aRandom)
{
  FaultEffect effect;
  if (aElapsed < 0) {
    return effect;
  }
  const bool isFaulty = aServer == 0;
  switch (kind_) {
    case FaultKind::None:
    case FaultKind::SlowCallers:
      break;
    case FaultKind::SlowFiveTimes:
      effect.timeFactor = isFaulty ? 5 : 1;
      break;
    case FaultKind::HalfSpeed:
      effect.timeFactor = isFaulty ? 2 : 1;
      break;
    case FaultKind::Errors:
      effect.fails = isFaulty && aRandom.Uniform() < kErrorShare;
      break;
    case FaultKind::ErrorsForOneCustomer:
      effect.fails = isFaulty && aCustomer == 0;
      break;
    case FaultKind::Intermittent:
      while (aElapsed > burstStart_ + kBurstSeconds) {
        burstStart_ += kBurstSeconds -
                       std::log(1 - aRandom.Uniform()) * kMeanBurstGapSeconds;
      }
      effect.fails =
        isFaulty && aElapsed >= burstStart_ && aRandom.Uniform() < 0.5;
      break;
    case FaultKind::Flapping:
      effect.fails =
        isFaulty && std::fmod(aElapsed, 2 * kFlapSeconds) < kFlapSeconds;
      effect.timeFactor = effect.fails ? kFastFailureFactor : 1;
      break;
    case FaultKind::BlackHole:
      effect.hangs = isFaulty;
      break;
    case FaultKind::ColdStart:
      if (isFaulty) {
        effect.timeFactor =
          1 + (kColdFactor - 1) * std::max(0.0, 1 - aElapsed / kColdSeconds);
      }
      break;
    case FaultKind::Overload:
      effect.timeFactor = 1.5;
      effect.sheds = aRandom.Uniform() < 0.1;
      break;
    case FaultKind::WholeShardSlow:
      effect.timeFactor = 5;
      break;
    case FaultKind::WholeShardErrors:
      effect.fails = aRandom.Uniform() < kErrorShare;
      break;
  }
  return effect;
}

} // namespace filbertbeam
