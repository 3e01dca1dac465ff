#include "slots/OutlierDetector.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

constexpr ServerId kUnresponsiveServer = 0;
constexpr ServerId kPeers = 3;

// Servers with nearly constant latency, and one that does not respond.
struct ConstantLatencyShard
{
  explicit ConstantLatencyShard(DetectionPreference aPreference)
    : detector(aPreference)
  {
    for (ServerId id = 0; id <= kPeers; ++id) {
      detector.Add(id);
    }
    for (int i = 0; i < 40; ++i) {
      now += 10ms;
      for (ServerId id = 1; id <= kPeers; ++id) {
        detector.OnLatency(id, 20ms + std::chrono::microseconds(50 * i), now);
      }
    }
  }

  // Adds all samples that one request yields while the unresponsive server
  // holds it for two seconds, as the scheduler records them. The peers keep
  // responding.
  void LeaveOneRequestUnanswered()
  {
    const std::optional<Duration> threshold =
      detector.SlowThreshold(kUnresponsiveServer, now);
    BOOST_REQUIRE(threshold.has_value());
    const Instant sentAt = now;
    Duration age = *threshold;
    for (int i = 0; i < detector.MaxUnansweredSamples() && age < 2s; ++i) {
      now = sentAt + age;
      detector.OnUnanswered(kUnresponsiveServer, age, now);
      for (ServerId id = 1; id <= kPeers; ++id) {
        detector.OnLatency(id, 20ms, now);
        detector.OnLatency(id, 21ms, now);
      }
      age *= detector.UnansweredAgeFactor();
    }
    now = sentAt + 2s;
  }

  OutlierDetector detector;
  Instant now;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OutlierDetection)

BOOST_AUTO_TEST_SUITE(AmongPeersOfNearlyConstantLatency)

// Guards against a spread so small that a request unanswered for seconds counts
// no more than one with one and a half times the usual latency. An unresponsive
// server of a shard with little traffic then kept getting one request after
// another.
BOOST_AUTO_TEST_CASE(TwoUnansweredRequestsRevealAnUnresponsiveServer)
{
  ConstantLatencyShard shard(DetectionPreference::Detection);
  shard.LeaveOneRequestUnanswered();
  BOOST_TEST(!shard.detector.Evaluate(kUnresponsiveServer, shard.now));
  shard.LeaveOneRequestUnanswered();
  BOOST_TEST(
    shard.detector.Evaluate(kUnresponsiveServer, shard.now).has_value());
}

// Guards against a spread so large that a server at half speed is not detected.
BOOST_AUTO_TEST_CASE(AServerAtHalfSpeedIsDetectedAfterTwentySamples)
{
  ConstantLatencyShard shard(DetectionPreference::Detection);
  for (int i = 0; i < 20; ++i) {
    shard.now += 20ms;
    shard.detector.OnLatency(kUnresponsiveServer, 42ms, shard.now);
    for (ServerId id = 1; id <= kPeers; ++id) {
      shard.detector.OnLatency(id, 20ms, shard.now);
      shard.detector.OnLatency(id, 21ms, shard.now);
    }
  }
  BOOST_TEST(
    shard.detector.Evaluate(kUnresponsiveServer, shard.now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
