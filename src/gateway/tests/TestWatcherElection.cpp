#include "gateway/WatcherElection.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

constexpr auto kStep = kWatcherHeartbeatInterval / 4;

// The hosts of one failure domain; beats arrive at once where no cut is set.
struct DomainFixture
{
  explicit DomainFixture(int aHosts = 16)
  {
    for (int i = 0; i < aHosts; ++i) {
      // The host in the middle has more processor than the others.
      hosts.push_back({ "host-" + std::to_string(i),
                        "piarco",
                        {},
                        {},
                        i == aHosts / 2 ? 0.5 : 0.1 });
    }
    for (const PeerHost& host : hosts) {
      elections.emplace(host.name,
                        WatcherElection(host.name, host.processorCores));
    }
    for (auto& [name, election] : elections) {
      std::vector<PeerHost> peers = hosts;
      std::erase_if(peers, [&self = name](const PeerHost& aHost) {
        return aHost.name == self;
      });
      election.SetPeers(peers);
    }
  }

  void Run(std::chrono::milliseconds aTime)
  {
    const Instant end = now + aTime;
    while (now < end) {
      now += kStep;
      for (auto& [name, election] : elections) {
        if (!dead.contains(name)) {
          roles[name] = election.Decide(now);
        }
      }
      for (const auto& [name, role] : roles) {
        if (role.sendsHeartbeats && !dead.contains(name)) {
          SendHeartbeat(name);
        }
      }
    }
  }

  void SendHeartbeat(const std::string& aWatcher)
  {
    for (auto& [name, election] : elections) {
      if (name != aWatcher && !isolated.contains(name)) {
        election.OnHeartbeat(aWatcher, now);
      }
    }
  }

  std::vector<std::string> HeartbeatSenders() const
  {
    std::vector<std::string> hosts;
    for (const auto& [name, role] : roles) {
      if (role.sendsHeartbeats && !dead.contains(name)) {
        hosts.push_back(name);
      }
    }
    return hosts;
  }

  int CountWatchingHosts() const
  {
    int count = 0;
    for (const auto& [name, role] : roles) {
      count += role.watchesCatalog && !dead.contains(name) ? 1 : 0;
    }
    return count;
  }

  Instant now;
  std::vector<PeerHost> hosts;
  std::map<std::string, WatcherElection> elections;
  std::map<std::string, WatcherRole> roles;
  std::set<std::string> dead;
  // Hosts that no beat reaches.
  std::set<std::string> isolated;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WatchersOfAFailureDomain, DomainFixture)

// Guards against a watch of the catalog by every host.
BOOST_AUTO_TEST_CASE(AreTwoOfManyHosts)
{
  Run(4s);
  BOOST_TEST(HeartbeatSenders().size() == 2U);
  BOOST_TEST(CountWatchingHosts() == 2);
}

// Guards against a watcher that is too slow for the hosts that follow it, while
// larger ones follow.
BOOST_AUTO_TEST_CASE(AreTheHostsWithMostProcessor)
{
  Run(4s);
  const std::vector<std::string> senders = HeartbeatSenders();
  BOOST_TEST((std::ranges::find(senders, "host-8") != senders.end()));
  dead.insert("host-8");
  Run(4s);
  BOOST_TEST(HeartbeatSenders().size() == 2U);
}

// Guards against hosts that wait for a watcher that is lost: all watch soon
// after both are, and until two others have taken over.
BOOST_AUTO_TEST_CASE(AreReplacedWhenTheyAreLost)
{
  Run(4s);
  for (const std::string& watcher : HeartbeatSenders()) {
    dead.insert(watcher);
  }
  Run(1'300ms);
  BOOST_TEST(CountWatchingHosts() == 14);
  Run(4s);
  BOOST_TEST(HeartbeatSenders().size() == 2U);
  BOOST_TEST(CountWatchingHosts() == 2);
}

// Guards against calls of every host when one of two watchers is lost.
BOOST_AUTO_TEST_CASE(AreTwoAgainWithoutAWatchByTheRestWhenOneIsLost)
{
  Run(4s);
  dead.insert(HeartbeatSenders().front());
  for (int i = 0; i < 40; ++i) {
    Run(100ms);
    BOOST_TEST(CountWatchingHosts() <= 3);
  }
  BOOST_TEST(HeartbeatSenders().size() == 2U);
}

// Guards against a host that hears no watcher and does not watch itself.
BOOST_AUTO_TEST_CASE(AreJoinedByAHostThatHearsNone)
{
  Run(4s);
  std::string host;
  for (const auto& [name, role] : roles) {
    host = role.watchesCatalog ? host : name;
  }
  isolated.insert(host);
  Run(1'300ms);
  BOOST_TEST(roles.at(host).watchesCatalog);
  isolated.clear();
  Run(1s);
  BOOST_TEST(!roles.at(host).watchesCatalog);
}

// Guards against a watcher that beats and cannot be asked.
BOOST_AUTO_TEST_CASE(CountAsSilentWhenTheyCannotBeReached)
{
  Run(4s);
  std::string host;
  for (const auto& [name, role] : roles) {
    host = role.watchesCatalog ? host : name;
  }
  for (const std::string& watcher : HeartbeatSenders()) {
    elections.at(host).OnUnreachable(watcher);
  }
  BOOST_TEST(elections.at(host).Decide(now).watchesCatalog);
}

// Guards against beats of every host while nobody reads the catalog: none
// counts as a watcher then, so all of them watch.
BOOST_AUTO_TEST_CASE(AreFewToBeatWhileNobodyReadsTheCatalog)
{
  std::ranges::for_each(
    elections, [this](const auto& aItem) { isolated.insert(aItem.first); });
  Run(6s);
  BOOST_TEST(CountWatchingHosts() == 16);
  BOOST_TEST(std::ranges::count_if(roles, [](const auto& aItem) {
               return aItem.second.sendsHeartbeatsInOutage;
             }) == 4);
}

// Guards against a fleet that starts without a list of hosts and follows
// nobody.
BOOST_AUTO_TEST_CASE(AreAllHostsThatDoNotKnowTheOthers)
{
  WatcherElection election("host", 1);
  for (int i = 0; i < 100; ++i) {
    const WatcherRole role = election.Decide(now + i * kStep);
    BOOST_TEST(role.watchesCatalog);
    BOOST_TEST(!role.sendsHeartbeats);
  }
}

BOOST_AUTO_TEST_CASE(IsAHostThatIsAlone)
{
  WatcherElection election("host", 1);
  election.SetPeers({});
  BOOST_TEST(election.Decide(now).sendsHeartbeats);
  BOOST_TEST(election.Decide(now).watchesCatalog);
}

BOOST_AUTO_TEST_SUITE_END()
