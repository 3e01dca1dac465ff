#include "slots/OutlierDetector.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace filbertbeam {

namespace {

using namespace std::chrono_literals;

// Decision bounds of both tests, in units of log likelihood. In theory, a
// healthy server with independent samples reaches the bound once in about 2
// e^bound samples: 7e6 at 15, 1.3e8 at 18. At 40 samples per second, the latter
// is 38 days.
constexpr double kDetectionBound = 15;
constexpr double kPrecisionBound = 18;
// An unanswered request is sampled again each time that its age grows by this
// factor. Where latencies have a Pareto tail of exponent 1.5, one in eight
// requests that is still open reaches four times its age, which is about as
// rare as any sample at the clip. With a factor of 2 and two slots, two
// simultaneous long requests ejected a healthy server every second day; in
// return, black holes are detected in a third of the time that a factor of 4
// takes.
constexpr std::int64_t kDetectionAgeFactor = 2;
constexpr std::int64_t kPrecisionAgeFactor = 4;
// Scores are capped at this multiple of the bound, so that a server that
// recovered while the floor kept it from being ejected soon counts as healthy
// again.
constexpr double kScoreCap = 2;

// Excesses are clipped to this many spreads, so that a single sample of a heavy
// tail does not decide the test.
constexpr double kClipSpreads = 3;
// Mean excess that the latency test tolerates: half a spread, and at least 1.4
// times the peers' latency, since hardware differs by that much.
constexpr double kAllowedExcess = 0.5;
const double kAllowedLogRatio = std::log(1.4);
// Minimum spread of log latency. kAllowedLogRatio is a fixed ratio, whereas the
// clip is a number of spreads: with a minimum of 0.15, a sample at the clip is
// 1.6 times the median and adds a quarter of its excess to the score, so that
// an unresponsive server took four requests to detect; with 0.3, it is 2.5
// times the median and adds five eighths.
constexpr double kMinimumSpread = 0.3;
// Interquartile range of a normal distribution, in standard deviations.
constexpr double kInterquartileRange = 1.349;

constexpr std::size_t kMinimumPeerSamples = 32;
constexpr Duration kBaselineLifetime = 250ms;

// Failure rate that is tolerated whatever the rate of the peers, and how far
// above the peers' rate that of a failing server is assumed to be.
constexpr double kMinimumFailureRate = 0.005;
constexpr double kFailureRateStep = 0.05;
constexpr double kMaximumFailureRate = 0.95;
// Weight, in samples, of the minimum rate in the estimate of the peers' rate.
constexpr double kFailureRatePriorSamples = 200;

// With fewer peers than this, the server's own history is used as well: one or
// two peers say little about what is normal, and a lasting difference from them
// need not be a fault.
constexpr int kFewPeers = 3;
constexpr double kOwnHistoryWeight = 1.0 / 1024;
// Maximum excess and failure rate that a server's own history can justify; a
// server that has been slow since it was added is still detected.
constexpr double kMaxOwnExcess = 0.75;
constexpr double kMaxOwnFailureRate = 0.05;

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Latencies are raised to at least a microsecond, as a proxy's clock does not
// resolve shorter ones.
double
LogLatency(Duration aLatency)
{
  return std::log(std::max(ToSeconds(aLatency), 1e-6));
}

double
Clip(double aExcess)
{
  return std::clamp(aExcess, -kClipSpreads, kClipSpreads);
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
  statistics_[aServer] = ServerStatistics{};
}

void
OutlierDetector::Remove(ServerId aServer)
{
  statistics_.erase(aServer);
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
  const auto found = statistics_.find(aServer);
  if (found == statistics_.end()) {
    return;
  }
  const PeerBaseline& baseline = BaselineOf(aServer, aNow);
  ServerStatistics& statistics = found->second;
  statistics.outcomes.Add(aNow, aIsFailure ? 1 : 0);
  if (baseline.peers == 0) {
    return;
  }
  const double base =
    std::min(BaseFailureRate(statistics, baseline), kMaximumFailureRate);
  const double alternative = AlternativeFailureRate(base);
  statistics.failure.Add(aIsFailure ? std::log(alternative / base)
                                    : std::log((1 - alternative) / (1 - base)),
                         kScoreCap * bound_,
                         aNow);
  if (statistics.failure.score < bound_ / 2) {
    statistics.ownFailureRate +=
      kOwnHistoryWeight * ((aIsFailure ? 1 : 0) - statistics.ownFailureRate);
  }
}

std::optional<OutlierDetector::Finding>
OutlierDetector::Evaluate(ServerId aServer, Instant aNow)
{
  if (!statistics_.contains(aServer)) {
    return std::nullopt;
  }
  const std::optional<Finding> failures = EvaluateFailures(aServer, aNow);
  const std::optional<Finding> latency = EvaluateLatency(aServer, aNow);
  if (failures && latency) {
    return failures->severity >= latency->severity ? failures : latency;
  }
  return failures ? failures : latency;
}

std::optional<Duration>
OutlierDetector::SlowThreshold(ServerId aServer, Instant aNow)
{
  // Servers on trial have no statistics here, but are compared with the same
  // peers.
  const PeerBaseline baseline = statistics_.contains(aServer)
                                  ? BaselineOf(aServer, aNow)
                                  : ComputeBaseline(aServer, aNow);
  if (!baseline.hasLatency) {
    return std::nullopt;
  }
  return FromSeconds(
    std::exp(baseline.median + kClipSpreads * baseline.spread));
}

double
OutlierDetector::Excess(ServerId aServer, Duration aLatency, Instant aNow)
{
  const PeerBaseline baseline = ComputeBaseline(aServer, aNow);
  if (!baseline.hasLatency) {
    return 0;
  }
  return Clip((LogLatency(aLatency) - baseline.median) / baseline.spread);
}

int
OutlierDetector::MaxUnansweredSamples() const
{
  return static_cast<int>(bound_ / kClipSpreads);
}

OutlierDetector::Scores
OutlierDetector::ScoresOf(ServerId aServer) const
{
  const auto found = statistics_.find(aServer);
  if (found == statistics_.end()) {
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

const OutlierDetector::PeerBaseline&
OutlierDetector::BaselineOf(ServerId aServer, Instant aNow)
{
  ServerStatistics& statistics = statistics_.at(aServer);
  if (!statistics.baseline ||
      statistics.baseline->computedAt + kBaselineLifetime <= aNow) {
    statistics.baseline = ComputeBaseline(aServer, aNow);
  }
  return *statistics.baseline;
}

OutlierDetector::PeerBaseline
OutlierDetector::ComputeBaseline(ServerId aServer, Instant aNow) const
{
  PeerBaseline baseline;
  baseline.computedAt = aNow;
  peerLatencies_.clear();
  double outcomes = 0;
  double failures = 0;
  for (const auto& [id, statistics] : statistics_) {
    if (id == aServer) {
      continue;
    }
    baseline.peers += 1;
    for (std::size_t i = 0; i < statistics.latencies.Size(); ++i) {
      peerLatencies_.push_back(statistics.latencies.Newest(i).value);
    }
    for (std::size_t i = 0; i < statistics.outcomes.Size(); ++i) {
      outcomes += 1;
      failures += statistics.outcomes.Newest(i).value;
    }
  }
  baseline.failureRate =
    std::max(kMinimumFailureRate,
             (failures + kMinimumFailureRate * kFailureRatePriorSamples) /
               (outcomes + kFailureRatePriorSamples));
  if (peerLatencies_.size() < kMinimumPeerSamples) {
    return baseline;
  }
  baseline.hasLatency = true;
  const auto quantile = [this](double aShare) {
    const auto position =
      peerLatencies_.begin() +
      static_cast<std::ptrdiff_t>(
        aShare * static_cast<double>(peerLatencies_.size() - 1));
    std::nth_element(peerLatencies_.begin(), position, peerLatencies_.end());
    return *position;
  };
  const double lower = quantile(0.25);
  baseline.median = quantile(0.5);
  const double upper = quantile(0.75);
  baseline.spread =
    std::max((upper - lower) / kInterquartileRange, kMinimumSpread);
  // The quartiles do not describe the tail. The mean and deviation of the
  // clipped excesses make the test unbiased for peers with a tail of any
  // weight.
  double sum = 0;
  double squares = 0;
  for (const double value : peerLatencies_) {
    const double excess = Clip((value - baseline.median) / baseline.spread);
    sum += excess;
    squares += excess * excess;
  }
  const auto count = static_cast<double>(peerLatencies_.size());
  baseline.mean = sum / count;
  baseline.deviation =
    std::max(1.0, std::sqrt(squares / count - baseline.mean * baseline.mean));
  return baseline;
}

void
OutlierDetector::AddLatency(ServerId aServer, double aLogLatency, Instant aNow)
{
  const auto found = statistics_.find(aServer);
  if (found == statistics_.end()) {
    return;
  }
  const PeerBaseline& baseline = BaselineOf(aServer, aNow);
  ServerStatistics& statistics = found->second;
  statistics.latencies.Add(aNow, aLogLatency);
  if (!baseline.hasLatency) {
    return;
  }
  const double excess =
    (Clip((aLogLatency - baseline.median) / baseline.spread) - baseline.mean) /
    baseline.deviation;
  const double ownAllowance =
    baseline.peers < kFewPeers
      ? std::clamp(statistics.ownExcess, 0.0, kMaxOwnExcess)
      : 0;
  const double allowed =
    std::max(kAllowedExcess, kAllowedLogRatio / baseline.spread);
  statistics.latency.Add(
    excess - ownAllowance - allowed, kScoreCap * bound_, aNow);
  if (statistics.latency.score < bound_ / 2) {
    statistics.ownExcess += kOwnHistoryWeight * (excess - statistics.ownExcess);
  }
}

double
OutlierDetector::BaseFailureRate(const ServerStatistics& aStatistics,
                                 const PeerBaseline& aBaseline) const
{
  if (aBaseline.peers >= kFewPeers) {
    return aBaseline.failureRate;
  }
  return std::max(aBaseline.failureRate,
                  std::min(aStatistics.ownFailureRate, kMaxOwnFailureRate));
}

template<typename Ring, typename Transform>
OutlierDetector::SampleTotals
OutlierDetector::TotalsSince(ServerId aServer,
                             Instant aSince,
                             Instant aNow,
                             Ring ServerStatistics::*aRing,
                             const Transform& aTransform) const
{
  SampleTotals totals;
  // The peers' samples count from the server's first one on.
  Instant since = aNow;
  const Ring& own = statistics_.at(aServer).*aRing;
  for (std::size_t i = 0; i < own.Size(); ++i) {
    const auto& sample = own.Newest(i);
    if (sample.at < aSince) {
      break;
    }
    since = sample.at;
    totals.ownCount += 1;
    totals.ownSum += aTransform(sample.value);
  }
  for (const auto& [id, peer] : statistics_) {
    const Ring& samples = peer.*aRing;
    for (std::size_t i = 0; id != aServer && i < samples.Size(); ++i) {
      const auto& sample = samples.Newest(i);
      if (sample.at < since) {
        break;
      }
      totals.peerCount += 1;
      totals.peerSum += aTransform(sample.value);
    }
  }
  return totals;
}

std::optional<OutlierDetector::Finding>
OutlierDetector::EvaluateLatency(ServerId aServer, Instant aNow)
{
  const PeerBaseline& baseline = BaselineOf(aServer, aNow);
  const ServerStatistics& statistics = statistics_.at(aServer);
  if (statistics.latency.score < bound_ || !baseline.hasLatency) {
    return std::nullopt;
  }
  // The baseline lags behind when the whole shard becomes slow. The samples of
  // the server since its score was zero are therefore compared with the peers'
  // samples of the same period.
  const auto excess = [&baseline](double aLogLatency) {
    return (Clip((aLogLatency - baseline.median) / baseline.spread) -
            baseline.mean) /
           baseline.deviation;
  };
  const SampleTotals totals = TotalsSince(aServer,
                                          statistics.latency.since,
                                          aNow,
                                          &ServerStatistics::latencies,
                                          excess);
  if (totals.ownCount == 0 || totals.peerCount == 0) {
    return std::nullopt;
  }
  const double ownAllowance =
    baseline.peers < kFewPeers
      ? std::clamp(statistics.ownExcess, 0.0, kMaxOwnExcess)
      : 0;
  const double allowed =
    std::max(kAllowedExcess, kAllowedLogRatio / baseline.spread);
  const double difference = totals.ownSum / totals.ownCount -
                            std::max(totals.peerSum / totals.peerCount, 0.0);
  // The fewer samples the peers have, the less certain the difference is.
  const double effectiveCount =
    totals.ownCount * totals.peerCount / (totals.ownCount + totals.peerCount);
  if (effectiveCount * (difference - ownAllowance - allowed) < bound_) {
    return std::nullopt;
  }
  return Finding{ difference,
                  fmt::format("latency {:.1f} spreads above its peers over "
                              "{:.0f} samples",
                              difference,
                              totals.ownCount) };
}

std::optional<OutlierDetector::Finding>
OutlierDetector::EvaluateFailures(ServerId aServer, Instant aNow)
{
  const PeerBaseline& baseline = BaselineOf(aServer, aNow);
  const ServerStatistics& statistics = statistics_.at(aServer);
  if (statistics.failure.score < bound_ || baseline.peers == 0) {
    return std::nullopt;
  }
  const SampleTotals totals = TotalsSince(aServer,
                                          statistics.failure.since,
                                          aNow,
                                          &ServerStatistics::outcomes,
                                          std::identity());
  // As for latency: failures that begin on all servers at once show up in the
  // peers' samples of the same period before they show up in the peers'
  // long-term rate.
  const double base =
    std::min(std::max(BaseFailureRate(statistics, baseline),
                      (totals.peerSum + 0.5) / (totals.peerCount + 1)),
             kMaximumFailureRate);
  const double alternative = AlternativeFailureRate(base);
  const double evidence = totals.ownSum * std::log(alternative / base) +
                          (totals.ownCount - totals.ownSum) *
                            std::log((1 - alternative) / (1 - base));
  if (totals.ownCount == 0 || evidence < bound_) {
    return std::nullopt;
  }
  const double share = totals.ownSum / totals.ownCount;
  return Finding{ kClipSpreads * share,
                  fmt::format("{:.0f} of {:.0f} requests failed, {:.1f}% "
                              "expected from its peers",
                              totals.ownSum,
                              totals.ownCount,
                              100 * base) };
}

} // namespace filbertbeam
