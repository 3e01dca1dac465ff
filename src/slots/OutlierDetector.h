#pragma once

#include "base/Clock.h"
#include "configuration/Configuration.h"
#include "slots/SampleRing.h"
#include "slots/ServerId.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertbeam {

// Compares each backend server of a shard with its peers by two CUSUM tests:
// one on log latency, one on failures. The decision bound follows from the
// service's preference only.
class OutlierDetector
{
public:
  struct Finding
  {
    // Comparable between servers and tests: mean excess in spreads.
    double severity = 0;
    std::string reason;
  };

  struct Scores
  {
    double latency = 0;
    double failure = 0;
  };

  explicit OutlierDetector(DetectionPreference aPreference);

  void SetPreference(DetectionPreference aPreference);
  double Bound() const { return bound_; }

  // Starts comparing a server, without any history.
  void Add(ServerId aServer);
  void Remove(ServerId aServer);

  // Latency of an answered request.
  void OnLatency(ServerId aServer, Duration aLatency, Instant aNow);
  // A request has been unanswered for aAge, which is above SlowThreshold.
  void OnUnanswered(ServerId aServer, Duration aAge, Instant aNow);
  void OnOutcome(ServerId aServer, bool aIsFailure, Instant aNow);

  // Says whether the server is an outlier. A score above the bound is held
  // against the peers' samples of the same period first.
  std::optional<Finding> Evaluate(ServerId aServer, Instant aNow);

  // Age at which an unanswered request counts as slow, from the peers'
  // latencies; nothing while they are too few.
  std::optional<Duration> SlowThreshold(ServerId aServer, Instant aNow);
  // How far a latency is above the peers' median, in spreads, clipped; 0 while
  // the peers' samples are too few.
  double Excess(ServerId aServer, Duration aLatency, Instant aNow);
  // Unanswered samples that one request may count for, so that a single
  // request cannot reach the bound.
  int MaxUnansweredSamples() const;
  // Growth of its age after which an unanswered request counts again.
  std::int64_t UnansweredAgeFactor() const { return unansweredAgeFactor_; }

  Scores ScoresOf(ServerId aServer) const;

private:
  static constexpr std::size_t kLatencySamples = 128;
  static constexpr std::size_t kOutcomeSamples = 256;

  // What the peers of a server look like.
  struct PeerBaseline
  {
    Instant computedAt;
    bool hasLatency = false;
    double median = 0;
    double spread = 1;
    // Of the peers' clipped excesses.
    double mean = 0;
    double deviation = 1;
    double failureRate = 0;
    int peers = 0;
  };

  // One-sided cumulative sum.
  struct Cusum
  {
    double score = 0;
    // First sample since the score was zero.
    Instant since;

    void Add(double aStep, double aCap, Instant aNow);
  };

  struct ServerStatistics
  {
    SampleRing<kLatencySamples> latencies;
    SampleRing<kOutcomeSamples> outcomes;
    Cusum latency;
    Cusum failure;
    // Slow averages of the server's own excess and failure rate.
    double ownExcess = 0;
    double ownFailureRate = 0;
    std::optional<PeerBaseline> baseline;
  };

  const PeerBaseline& BaselineOf(ServerId aServer, Instant aNow);
  PeerBaseline ComputeBaseline(ServerId aServer, Instant aNow) const;
  void AddLatency(ServerId aServer, double aLogLatency, Instant aNow);
  double BaseFailureRate(const ServerStatistics& aStatistics,
                         const PeerBaseline& aBaseline) const;
  std::optional<Finding> EvaluateLatency(ServerId aServer, Instant aNow);
  std::optional<Finding> EvaluateFailures(ServerId aServer, Instant aNow);

  double bound_;
  std::int64_t unansweredAgeFactor_;
  std::map<ServerId, ServerStatistics> statistics_;
  mutable std::vector<double> peerLatencies_;
};

} // namespace filbertbeam
