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

// Compares each backend server of a shard with its peers by two CUSUM tests,
// one on log latency and one on failures. The decision bound depends only on
// the service's preference. The excess of a latency is its distance from the
// peers' median on a log scale, measured in spreads; a spread is the standard
// deviation estimated from the peers' quartiles.
class OutlierDetector
{
public:
  struct Finding
  {
    // Mean excess in spreads; comparable between servers and between both
    // tests.
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

  // Starts comparing a server, without any earlier samples.
  void Add(ServerId aServer);
  void Remove(ServerId aServer);

  // Records the latency of a request that received a response.
  void OnLatency(ServerId aServer, Duration aLatency, Instant aNow);
  // Records a sample for a request that has been unanswered for aAge, which is
  // above SlowThreshold.
  void OnUnanswered(ServerId aServer, Duration aAge, Instant aNow);
  void OnOutcome(ServerId aServer, bool aIsFailure, Instant aNow);

  // Returns a finding if the server is an outlier. A score that has reached the
  // bound is first checked against the peers' samples of the same period.
  std::optional<Finding> Evaluate(ServerId aServer, Instant aNow);

  // Returns the age at which an unanswered request counts as slow, computed
  // from the peers' latencies; nothing while there are too few of them.
  std::optional<Duration> SlowThreshold(ServerId aServer, Instant aNow);
  // Returns the excess of a latency, clipped; 0 while the peers have too few
  // samples.
  double Excess(ServerId aServer, Duration aLatency, Instant aNow);
  // Returns how many samples one unanswered request may yield, so that a single
  // request cannot reach the bound.
  int MaxUnansweredSamples() const;
  // Factor by which the age of an unanswered request has to grow before it is
  // sampled again.
  std::int64_t UnansweredAgeFactor() const { return unansweredAgeFactor_; }

  Scores ScoresOf(ServerId aServer) const;

private:
  static constexpr std::size_t kLatencySamples = 128;
  static constexpr std::size_t kOutcomeSamples = 256;

  // Statistics of the peers of one server.
  struct PeerBaseline
  {
    Instant computedAt;
    bool hasLatency = false;
    double median = 0;
    double spread = 1;
    // Mean and standard deviation of the peers' clipped excesses.
    double mean = 0;
    double deviation = 1;
    double failureRate = 0;
    int peers = 0;
  };

  // One-sided cumulative sum.
  struct Cusum
  {
    double score = 0;
    // Time of the first sample since the score was zero.
    Instant since;

    void Add(double aStep, double aCap, Instant aNow);
  };

  // Samples of one server and of the others in the same period.
  struct SampleTotals
  {
    double ownCount = 0;
    double ownSum = 0;
    double peerCount = 0;
    double peerSum = 0;
  };

  struct ServerStatistics
  {
    SampleRing<kLatencySamples> latencies;
    SampleRing<kOutcomeSamples> outcomes;
    Cusum latency;
    Cusum failure;
    // Long-term moving averages of the server's own excess and failure rate.
    double ownExcess = 0;
    double ownFailureRate = 0;
    std::optional<PeerBaseline> baseline;
  };

  const PeerBaseline& BaselineOf(ServerId aServer, Instant aNow);
  PeerBaseline ComputeBaseline(ServerId aServer, Instant aNow) const;
  void AddLatency(ServerId aServer, double aLogLatency, Instant aNow);
  double BaseFailureRate(const ServerStatistics& aStatistics,
                         const PeerBaseline& aBaseline) const;
  // Sums the transformed samples in aRing: those of aServer from aSince on, and
  // those of the other servers of the same period.
  template<typename Ring, typename Transform>
  SampleTotals TotalsSince(ServerId aServer,
                           Instant aSince,
                           Instant aNow,
                           Ring ServerStatistics::*aRing,
                           const Transform& aTransform) const;
  std::optional<Finding> EvaluateLatency(ServerId aServer, Instant aNow);
  std::optional<Finding> EvaluateFailures(ServerId aServer, Instant aNow);

  double bound_;
  std::int64_t unansweredAgeFactor_;
  std::map<ServerId, ServerStatistics> statistics_;
  mutable std::vector<double> peerLatencies_;
};

} // namespace filbertbeam
