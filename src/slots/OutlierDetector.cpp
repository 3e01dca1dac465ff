#include "slots/OutlierDetector.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

using namespace std::chrono_literals;

// Bounds of both tests, in units of log likelihood. In theory, a healthy
// server with independent samples crosses the bound once in about 2 e^bound
// samples: 7 e6 at 15, 1.3 e8 at 18. At 40 samples per second, the latter is
// 38 days.
constexpr double kDetectionBound = 15;
constexpr double kPrecisionBound = 18;
// An unanswered request counts again each time that its age grows by this
// factor. Where latencies have a Pareto tail of exponent 1.5, one in eight
// requests that is still open gets four times as old, which is about as rare
// as any sample at the clip. With a factor of 2 and two slots, two long
// requests at a time ejected a healthy server every second day; black holes
// are detected in a third of the time.
constexpr std::int64_t kDetectionAgeFactor = 2;
constexpr std::int64_t kPrecisionAgeFactor = 4;
// Scores stop at this multiple of the bound, so that a server that recovered
// while the floor kept it from being ejected soon counts as healthy again.
constexpr double kScoreCap = 2;

// Excesses are clipped to this many spreads: one sample of a heavy tail must
// not decide.
constexpr double kClip = 3;
// Mean excess that the latency test allows for: half a spread, and at least a
// ratio of 1.4 to the peers, since hardware differs by that much.
constexpr double kAllowedExcess = 0.5;
const double kAllowedLogRatio = std::log(1.4);
// Smallest spread of log latency. kAllowedLogRatio is a fixed ratio, the clip
// a number of spreads: at 0.15, a sample at the clip is 1.6 times the median
// and a quarter of it counts, so that a silent server took four requests to
// find; at 0.3, it is 2.5 times the median and five eighths count.
constexpr double kMinimumSpread = 0.3;
// Interquartile range of a normal distribution in standard deviations.
constexpr double kInterquartileRange = 1.349;

constexpr std::size_t kMinimumPeerSamples = 32;
constexpr Duration kReferenceLifetime = 250ms;

// Failure rate that a server may have whatever its peers do, and how far above
// its peers a failing server is assumed to be.
constexpr double kMinimumFailureRate = 0.005;
constexpr double kFailureRateStep = 0.05;
constexpr double kMaximumFailureRate = 0.95;
// Samples by which the minimum rate weighs in the estimate for the peers.
constexpr double kFailureRatePriorSamples = 200;

// With fewer peers than this, the server's own history is used as well: one
// or two peers say little about what is normal, and a lasting difference to
// them need not be a fault.
constexpr int kFewPeers = 3;
constexpr double kOwnHistoryWeight = 1.0 / 1024;
// What own history may excuse at most; a server that was slow from its entry
// is still found.
constexpr double kMaxOwnExcess = 0.75;
constexpr double kMaxOwnFailureRate = 0.05;

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Sub-microsecond latencies are below what the clock of a proxy resolves.
double
LogLatency(Duration aLatency)
{
  return std::log(std::max(ToSeconds(aLatency), 1e-6));
}

double
Clip(double aExcess)
{
  return std::clamp(aExcess, -kClip, kClip);
}

double
AlternativeFailureRate(double aBase)
{
  return std::max(
    aBase,
    std::min(aBase + std::max(kFailureRateStep, aBase), kMaximumFailureRate));
}

double
BoundOf(DetectionPreference aPreference)
{
  return aPreference == DetectionPreference::Detection ? kDetectionBound
                                                       : kPrecisionBound;
}

std::int64_t
AgeFactorOf(DetectionPreference aPreference)
{
  return aPreference == DetectionPreference::Detection ? kDetectionAgeFactor
                                                       : kPrecisionAgeFactor;
}

} // namespace

OutlierDetector::OutlierDetector(DetectionPreference aPreference)
  : bound_(BoundOf(aPreference))
  , unansweredAgeFactor_(AgeFactorOf(aPreference))
{
}

void
OutlierDetector::SetPreference(DetectionPreference aPreference)
{
  bound_ = BoundOf(aPreference);
  unansweredAgeFactor_ = AgeFactorOf(aPreference);
}

void
OutlierDetector::Add(ServerId aServer)
{
  tracks_[aServer] = Track{};
}

void
OutlierDetector::Remove(ServerId aServer)
{
  tracks_.erase(aServer);
}

void
OutlierDetector::OnLatency(ServerId aServer, Duration aLatency, Instant aNow)
{
  AddLatency(aServer, LogLatency(aLatency), aNow);
}

void
OutlierDetector::OnUnanswered(ServerId aServer, Duration aAge, Instant aNow)
{
  AddLatency(aServer, LogLatency(aAge), aNow);
}

void
OutlierDetector::OnOutcome(ServerId aServer, bool aIsFailure, Instant aNow)
{
  const auto found = tracks_.find(aServer);
  if (found == tracks_.end()) {
    return;
  }
  const Reference& reference = ReferenceOf(aServer, aNow);
  Track& track = found->second;
  track.outcomes.Add(aNow, aIsFailure ? 1 : 0);
  if (reference.peers == 0) {
    return;
  }
  const double base =
    std::min(BaseFailureRate(track, reference), kMaximumFailureRate);
  const double alternative = AlternativeFailureRate(base);
  track.failure.Add(aIsFailure ? std::log(alternative / base)
                               : std::log((1 - alternative) / (1 - base)),
                    kScoreCap * bound_,
                    aNow);
  if (track.failure.score < bound_ / 2) {
    track.ownFailureRate +=
      kOwnHistoryWeight * ((aIsFailure ? 1 : 0) - track.ownFailureRate);
  }
}

std::optional<OutlierDetector::Verdict>
OutlierDetector::Judge(ServerId aServer, Instant aNow)
{
  if (!tracks_.contains(aServer)) {
    return std::nullopt;
  }
  const std::optional<Verdict> failures = JudgeFailures(aServer, aNow);
  const std::optional<Verdict> latency = JudgeLatency(aServer, aNow);
  if (failures && latency) {
    return failures->severity >= latency->severity ? failures : latency;
  }
  return failures ? failures : latency;
}

std::optional<Duration>
OutlierDetector::Tail(ServerId aServer, Instant aNow)
{
  // Servers on trial are not compared, but held against the same peers.
  const Reference reference = tracks_.contains(aServer)
                                ? ReferenceOf(aServer, aNow)
                                : ComputeReference(aServer, aNow);
  if (!reference.hasLatency) {
    return std::nullopt;
  }
  return FromSeconds(std::exp(reference.median + kClip * reference.spread));
}

double
OutlierDetector::Excess(ServerId aServer, Duration aLatency, Instant aNow)
{
  const Reference reference = ComputeReference(aServer, aNow);
  if (!reference.hasLatency) {
    return 0;
  }
  return Clip((LogLatency(aLatency) - reference.median) / reference.spread);
}

int
OutlierDetector::MaxUnansweredSamples() const
{
  return static_cast<int>(bound_ / kClip);
}

OutlierDetector::Scores
OutlierDetector::ScoresOf(ServerId aServer) const
{
  const auto found = tracks_.find(aServer);
  if (found == tracks_.end()) {
    return {};
  }
  return { found->second.latency.score, found->second.failure.score };
}

void
OutlierDetector::Cusum::Add(double aStep, double aCap, Instant aNow)
{
  if (score <= 0) {
    since = aNow;
  }
  score = std::clamp(score + aStep, 0.0, aCap);
}

const OutlierDetector::Reference&
OutlierDetector::ReferenceOf(ServerId aServer, Instant aNow)
{
  Track& track = tracks_.at(aServer);
  if (!track.reference ||
      track.reference->computedAt + kReferenceLifetime <= aNow) {
    track.reference = ComputeReference(aServer, aNow);
  }
  return *track.reference;
}

OutlierDetector::Reference
OutlierDetector::ComputeReference(ServerId aServer, Instant aNow) const
{
  Reference reference;
  reference.computedAt = aNow;
  scratch_.clear();
  double outcomes = 0;
  double failures = 0;
  for (const auto& [id, track] : tracks_) {
    if (id == aServer) {
      continue;
    }
    reference.peers += 1;
    for (std::size_t i = 0; i < track.latencies.Size(); ++i) {
      scratch_.push_back(track.latencies.Newest(i).value);
    }
    for (std::size_t i = 0; i < track.outcomes.Size(); ++i) {
      outcomes += 1;
      failures += track.outcomes.Newest(i).value;
    }
  }
  reference.failureRate =
    std::max(kMinimumFailureRate,
             (failures + kMinimumFailureRate * kFailureRatePriorSamples) /
               (outcomes + kFailureRatePriorSamples));
  if (scratch_.size() < kMinimumPeerSamples) {
    return reference;
  }
  reference.hasLatency = true;
  const auto quantile = [this](double aShare) {
    const auto position =
      scratch_.begin() + static_cast<std::ptrdiff_t>(
                           aShare * static_cast<double>(scratch_.size() - 1));
    std::nth_element(scratch_.begin(), position, scratch_.end());
    return *position;
  };
  const double lower = quantile(0.25);
  reference.median = quantile(0.5);
  const double upper = quantile(0.75);
  reference.spread =
    std::max((upper - lower) / kInterquartileRange, kMinimumSpread);
  // The quartiles say nothing about the tail; the mean and deviation of the
  // clipped excesses make the test neutral for peers with a tail of any
  // weight.
  double sum = 0;
  double squares = 0;
  for (const double value : scratch_) {
    const double excess = Clip((value - reference.median) / reference.spread);
    sum += excess;
    squares += excess * excess;
  }
  const auto count = static_cast<double>(scratch_.size());
  reference.mean = sum / count;
  reference.deviation =
    std::max(1.0, std::sqrt(squares / count - reference.mean * reference.mean));
  return reference;
}

void
OutlierDetector::AddLatency(ServerId aServer, double aLogLatency, Instant aNow)
{
  const auto found = tracks_.find(aServer);
  if (found == tracks_.end()) {
    return;
  }
  const Reference& reference = ReferenceOf(aServer, aNow);
  Track& track = found->second;
  track.latencies.Add(aNow, aLogLatency);
  if (!reference.hasLatency) {
    return;
  }
  const double excess =
    (Clip((aLogLatency - reference.median) / reference.spread) -
     reference.mean) /
    reference.deviation;
  const double excused = reference.peers < kFewPeers
                           ? std::clamp(track.ownExcess, 0.0, kMaxOwnExcess)
                           : 0;
  const double allowed =
    std::max(kAllowedExcess, kAllowedLogRatio / reference.spread);
  track.latency.Add(excess - excused - allowed, kScoreCap * bound_, aNow);
  if (track.latency.score < bound_ / 2) {
    track.ownExcess += kOwnHistoryWeight * (excess - track.ownExcess);
  }
}

double
OutlierDetector::BaseFailureRate(const Track& aTrack,
                                 const Reference& aReference) const
{
  if (aReference.peers >= kFewPeers) {
    return aReference.failureRate;
  }
  return std::max(aReference.failureRate,
                  std::min(aTrack.ownFailureRate, kMaxOwnFailureRate));
}

std::optional<OutlierDetector::Verdict>
OutlierDetector::JudgeLatency(ServerId aServer, Instant aNow)
{
  const Reference& reference = ReferenceOf(aServer, aNow);
  const Track& track = tracks_.at(aServer);
  if (track.latency.score < bound_ || !reference.hasLatency) {
    return std::nullopt;
  }
  // The reference lags behind when the whole shard turns slow. The samples of
  // the server since its score left zero are therefore held against the peers'
  // samples of just that period.
  const auto excess = [&reference](double aLogLatency) {
    return (Clip((aLogLatency - reference.median) / reference.spread) -
            reference.mean) /
           reference.deviation;
  };
  Instant since = aNow;
  double ownCount = 0;
  double ownSum = 0;
  for (std::size_t i = 0; i < track.latencies.Size(); ++i) {
    const auto& sample = track.latencies.Newest(i);
    if (sample.at < track.latency.since) {
      break;
    }
    since = sample.at;
    ownCount += 1;
    ownSum += excess(sample.value);
  }
  double peerCount = 0;
  double peerSum = 0;
  for (const auto& [id, peer] : tracks_) {
    if (id == aServer) {
      continue;
    }
    for (std::size_t i = 0; i < peer.latencies.Size(); ++i) {
      const auto& sample = peer.latencies.Newest(i);
      if (sample.at < since) {
        break;
      }
      peerCount += 1;
      peerSum += excess(sample.value);
    }
  }
  if (ownCount == 0 || peerCount == 0) {
    return std::nullopt;
  }
  const double excused = reference.peers < kFewPeers
                           ? std::clamp(track.ownExcess, 0.0, kMaxOwnExcess)
                           : 0;
  const double allowed =
    std::max(kAllowedExcess, kAllowedLogRatio / reference.spread);
  const double difference =
    ownSum / ownCount - std::max(peerSum / peerCount, 0.0);
  // Few samples of the peers make the difference less certain.
  const double effectiveCount = ownCount * peerCount / (ownCount + peerCount);
  if (effectiveCount * (difference - excused - allowed) < bound_) {
    return std::nullopt;
  }
  return Verdict{ difference,
                  fmt::format("latency {:.1f} spreads above its peers over "
                              "{:.0f} samples",
                              difference,
                              ownCount) };
}

std::optional<OutlierDetector::Verdict>
OutlierDetector::JudgeFailures(ServerId aServer, Instant aNow)
{
  const Reference& reference = ReferenceOf(aServer, aNow);
  const Track& track = tracks_.at(aServer);
  if (track.failure.score < bound_ || reference.peers == 0) {
    return std::nullopt;
  }
  Instant since = aNow;
  double ownCount = 0;
  double ownFailures = 0;
  for (std::size_t i = 0; i < track.outcomes.Size(); ++i) {
    const auto& sample = track.outcomes.Newest(i);
    if (sample.at < track.failure.since) {
      break;
    }
    since = sample.at;
    ownCount += 1;
    ownFailures += sample.value;
  }
  double peerCount = 0;
  double peerFailures = 0;
  for (const auto& [id, peer] : tracks_) {
    if (id == aServer) {
      continue;
    }
    for (std::size_t i = 0; i < peer.outcomes.Size(); ++i) {
      const auto& sample = peer.outcomes.Newest(i);
      if (sample.at < since) {
        break;
      }
      peerCount += 1;
      peerFailures += sample.value;
    }
  }
  // As for latency: failures that began everywhere at once are in the peers'
  // samples of the same period before they are in their long-run rate.
  const double base = std::min(std::max(BaseFailureRate(track, reference),
                                        (peerFailures + 0.5) / (peerCount + 1)),
                               kMaximumFailureRate);
  const double alternative = AlternativeFailureRate(base);
  const double evidence =
    ownFailures * std::log(alternative / base) +
    (ownCount - ownFailures) * std::log((1 - alternative) / (1 - base));
  if (ownCount == 0 || evidence < bound_) {
    return std::nullopt;
  }
  const double share = ownFailures / ownCount;
  return Verdict{ kClip * share,
                  fmt::format("{:.0f} of {:.0f} requests failed, {:.1f}% "
                              "expected from its peers",
                              ownFailures,
                              ownCount,
                              100 * base) };
}

} // namespace filbertbeam
