#include "base/SeededRandom.h"
#include "catalog/DeadHostEntry.h"
#include "gateway/DeadHostDetector.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds kRound{ 60 };

std::vector<PeerHost>
MakeHosts(int aHosts)
{
  std::vector<PeerHost> hosts;
  hosts.reserve(static_cast<std::size_t>(aHosts));
  for (int i = 0; i < aHosts; ++i) {
    hosts.push_back({ "host-" + std::to_string(i),
                      "domain",
                      { "127.0.0.1", static_cast<std::uint16_t>(7000 + i) } });
  }
  return hosts;
}

struct DeadHostDetectorFixture
{
  // Runs a round in which every probed host that is not in aDead responds.
  // Returns the hosts that are reported dead at its end.
  std::vector<std::string> RunRound(const std::vector<PeerHost>& aListed,
                                    const std::set<std::string>& aDead)
  {
    probed = detector.BeginRound(aListed, now);
    for (const PeerHost& host : probed) {
      if (!aDead.contains(host.name)) {
        detector.OnPeerMessage(host.name);
      }
    }
    now += kRound;
    return detector.TakeDeadHosts(now);
  }

  SeededRandom random{ 1 };
  DeadHostDetector detector{ "host-0", random };
  Instant now;
  std::vector<PeerHost> probed;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DeadHosts, DeadHostDetectorFixture)

// Guards against a host list that grows with every host that stops without
// unregistering.
BOOST_AUTO_TEST_CASE(AreReportedAfterTheirLifetime)
{
  const std::vector<PeerHost> listed = MakeHosts(20);
  std::vector<std::string> deadHosts;
  int rounds = 0;
  while (deadHosts.empty() && rounds < 1000) {
    deadHosts = RunRound(listed, { "host-7" });
    ++rounds;
  }
  BOOST_TEST_REQUIRE(deadHosts.size() == 1U);
  BOOST_TEST(deadHosts.front() == "host-7");
  BOOST_TEST(rounds * kRound >= kDeadHostRemovalDelay);
}

// Guards against a number of messages that grows with the fleet.
BOOST_AUTO_TEST_CASE(CostOneProbePerRoundWhileAllHostsRespond)
{
  const std::vector<PeerHost> listed = MakeHosts(500);
  for (int i = 0; i < 100; ++i) {
    RunRound(listed, {});
    BOOST_TEST(probed.size() == 1U);
    BOOST_TEST(probed.front().name != "host-0");
  }
}

// Guards against the removal of a host that restarts or was disconnected for a
// while.
BOOST_AUTO_TEST_CASE(AreNotReportedWhenTheyRespondAgain)
{
  const std::vector<PeerHost> listed = MakeHosts(3);
  for (int i = 0; i < 100; ++i) {
    const bool isDead = i % 9 != 0;
    const std::set<std::string> dead =
      isDead ? std::set<std::string>{ "host-1" } : std::set<std::string>{};
    BOOST_TEST(RunRound(listed, dead).empty());
  }
}

// Guards against a host that is disconnected from all others and removes them.
BOOST_AUTO_TEST_CASE(AreNotReportedByAHostThatReceivesNoResponses)
{
  const std::vector<PeerHost> listed = MakeHosts(4);
  const std::set<std::string> all{ "host-1", "host-2", "host-3" };
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(RunRound(listed, all).empty());
  }
}

// Guards against a second removal of an entry.
BOOST_AUTO_TEST_CASE(AreDroppedWhenTheyAreNoLongerListed)
{
  for (int i = 0; i < 9; ++i) {
    BOOST_TEST(RunRound(MakeHosts(3), { "host-1", "host-2" }).empty());
  }
  RunRound(MakeHosts(2), { "host-1" });
  BOOST_TEST(std::ranges::none_of(
    probed, [](const PeerHost& aHost) { return aHost.name == "host-2"; }));
}

BOOST_AUTO_TEST_CASE(AreNotReportedWhenThisHostHasNoPeers)
{
  BOOST_TEST(RunRound(MakeHosts(1), {}).empty());
  BOOST_TEST(probed.empty());
}

BOOST_AUTO_TEST_SUITE_END()
