#include "base/SeededRandom.h"
#include "catalog/DeadHostEntry.h"
#include "gateway/SilentPeers.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds kRound{ 60 };

std::vector<PeerHost>
Listed(int aHosts)
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

struct SilentPeersFixture
{
  // Plays a round in which every host but those in aDead answers, and returns
  // what has expired at its end.
  std::vector<std::string> Round(const std::vector<PeerHost>& aListed,
                                 const std::set<std::string>& aDead)
  {
    greeted = peers.BeginRound(aListed, now);
    for (const PeerHost& host : greeted) {
      if (!aDead.contains(host.name)) {
        peers.OnHeard(host.name);
      }
    }
    now += kRound;
    return peers.TakeExpired(now);
  }

  SeededRandom random{ 1 };
  SilentPeers peers{ "host-0", random };
  Instant now;
  std::vector<PeerHost> greeted;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HostsThatEndedWithoutNotice, SilentPeersFixture)

// Guards against a list of hosts that grows with every host that ends.
BOOST_AUTO_TEST_CASE(AreFoundAfterTheirLifetime)
{
  const std::vector<PeerHost> listed = Listed(20);
  std::vector<std::string> expired;
  int rounds = 0;
  while (expired.empty() && rounds < 1000) {
    expired = Round(listed, { "host-7" });
    ++rounds;
  }
  BOOST_TEST_REQUIRE(expired.size() == 1U);
  BOOST_TEST(expired.front() == "host-7");
  BOOST_TEST(rounds * kRound >= kDeadHostRemovalDelay);
}

// Guards against messages that grow with the fleet.
BOOST_AUTO_TEST_CASE(CostOneGreetingARoundUntilOneIsFound)
{
  const std::vector<PeerHost> listed = Listed(500);
  for (int i = 0; i < 100; ++i) {
    Round(listed, {});
    BOOST_TEST(greeted.size() == 1U);
    BOOST_TEST(greeted.front().name != "host-0");
  }
}

// Guards against the removal of a host that restarts or was cut off for a
// while.
BOOST_AUTO_TEST_CASE(AreForgivenWhenTheyAnswerAgain)
{
  const std::vector<PeerHost> listed = Listed(3);
  for (int i = 0; i < 100; ++i) {
    const bool isDead = i % 9 != 0;
    const std::set<std::string> dead =
      isDead ? std::set<std::string>{ "host-1" } : std::set<std::string>{};
    BOOST_TEST(Round(listed, dead).empty());
  }
}

// Guards against a host that is cut off from all others and removes them.
BOOST_AUTO_TEST_CASE(AreNotJudgedByAHostThatHearsNobody)
{
  const std::vector<PeerHost> listed = Listed(4);
  const std::set<std::string> all{ "host-1", "host-2", "host-3" };
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(Round(listed, all).empty());
  }
}

// Guards against a second removal of an entry that is gone.
BOOST_AUTO_TEST_CASE(AreForgottenWhenTheyAreNoLongerListed)
{
  for (int i = 0; i < 9; ++i) {
    BOOST_TEST(Round(Listed(3), { "host-1", "host-2" }).empty());
  }
  Round(Listed(2), { "host-1" });
  BOOST_TEST(std::ranges::none_of(
    greeted, [](const PeerHost& aHost) { return aHost.name == "host-2"; }));
}

BOOST_AUTO_TEST_CASE(AreNobodyWhereThisHostIsAlone)
{
  BOOST_TEST(Round(Listed(1), {}).empty());
  BOOST_TEST(greeted.empty());
}

BOOST_AUTO_TEST_SUITE_END()
