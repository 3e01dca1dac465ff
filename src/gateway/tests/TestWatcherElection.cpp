#include "gateway/WatcherElection.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

constexpr auto kStep = kWatcherHeartbeatInterval / 4;

// The hosts of one failure domain. Heartbeats arrive at once at every host that
// is not isolated.
struct DomainFixture
{
  explicit DomainFixture(int aHosts = 16)
  {
    for (int i = 0; i < aHosts; ++i) {
      // The host in the middle has more processor cores than the others.
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
        election.OnHeartbeat(
          aWatcher, now, silenced.contains(aWatcher) ? silentSince : now);
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

  std::vector<std::string> FirstWatchers() const
  {
    std::vector<std::string> hosts;
    for (const auto& [name, role] : roles) {
      if (role.isFirstWatcher && !dead.contains(name)) {
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
  // Hosts that receive no heartbeats.
  std::set<std::string> isolated;
  // Hosts to which the catalog has not responded since silentSince.
  std::set<std::string> silenced;
  Instant silentSince;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WatchersOfAFailureDomain, DomainFixture)

// Guards against catalog watches by all hosts.
BOOST_AUTO_TEST_CASE(AreTwoOfManyHosts)
{
  Run(4s);
  BOOST_TEST(HeartbeatSenders().size() == 2U);
  BOOST_TEST(CountWatchingHosts() == 2);
}

// Guards against a domain without a host that notices lost responses in time,
// and against frequent calls of more than one.
BOOST_AUTO_TEST_CASE(HaveOneFirst)
{
  Run(4s);
  BOOST_TEST(FirstWatchers().size() == 1U);
  const std::string first = FirstWatchers().front();
  BOOST_TEST(first == "host-8");
  dead.insert(first);
  Run(kWatcherHeartbeatTimeout + 2 * kStep);
  BOOST_TEST(FirstWatchers().size() == 1U);
  BOOST_TEST(FirstWatchers().front() != first);
}

// Guards against catalog watches by all hosts of a fleet that starts at once:
// each waits for the heartbeats of those that rank before it.
BOOST_AUTO_TEST_CASE(AreNotPrecededByWatchesOfAllHosts)
{
  int mostWatching = 0;
  for (int i = 0; i < 40; ++i) {
    Run(100ms);
    mostWatching = std::max(mostWatching, CountWatchingHosts());
  }
  BOOST_TEST(mostWatching <= 3);
}

// Guards against a watcher that is too slow for the hosts that follow it, while
// larger hosts only follow.
BOOST_AUTO_TEST_CASE(AreTheHostsWithTheMostProcessorCores)
{
  Run(4s);
  const std::vector<std::string> senders = HeartbeatSenders();
  BOOST_TEST((std::ranges::find(senders, "host-8") != senders.end()));
  dead.insert("host-8");
  Run(4s);
  BOOST_TEST(HeartbeatSenders().size() == 2U);
}

// Guards against hosts that wait for lost watchers: soon after both are lost,
// all hosts watch until two others have taken over.
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

// Guards against catalog calls by all hosts when one of two watchers is lost.
BOOST_AUTO_TEST_CASE(AreTwoAgainAfterALossWithoutWatchesByTheRest)
{
  Run(4s);
  dead.insert(HeartbeatSenders().front());
  for (int i = 0; i < 40; ++i) {
    Run(100ms);
    BOOST_TEST(CountWatchingHosts() <= 3);
  }
  BOOST_TEST(HeartbeatSenders().size() == 2U);
}

// Guards against a host that receives no heartbeats and does not watch the
// catalog itself.
BOOST_AUTO_TEST_CASE(AreJoinedByAHostThatReceivesNoHeartbeats)
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

// Guards against following watchers that go on sending heartbeats although the
// catalog no longer responds to them.
BOOST_AUTO_TEST_CASE(AreNotCountedOnceTheCatalogHasLongBeenSilentToThem)
{
  Run(4s);
  const std::vector<std::string> watchers = HeartbeatSenders();
  silentSince = now;
  silenced.insert(watchers.begin(), watchers.end());
  Run(kCatalogResponseTimeout + kStep);
  for (const auto& [name, role] : roles) {
    BOOST_TEST(role.watchesCatalog, name);
  }
  Run(3s);
  BOOST_TEST(HeartbeatSenders().size() == 4U);
  BOOST_TEST(CountWatchingHosts() == 4);
}

// Guards against following a watcher that sends heartbeats and does not respond
// to requests.
BOOST_AUTO_TEST_CASE(AreNotCountedWhenTheyCannotBeReached)
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

// Guards against heartbeats of all hosts while none can read the catalog: no
// host counts as a watcher then, so all hosts watch.
BOOST_AUTO_TEST_CASE(AreFewThatSendHeartbeatsDuringACatalogOutage)
{
  std::ranges::for_each(
    elections, [this](const auto& aItem) { isolated.insert(aItem.first); });
  Run(6s);
  BOOST_TEST(CountWatchingHosts() == 16);
  BOOST_TEST(std::ranges::count_if(roles, [](const auto& aItem) {
               return aItem.second.sendsHeartbeatsInOutage;
             }) == 4);
}

// Guards against a fleet in which no host watches when it starts without a host
// list.
BOOST_AUTO_TEST_CASE(AreAllHostsWithoutAHostList)
{
  WatcherElection election("host", 1);
  for (int i = 0; i < 100; ++i) {
    const WatcherRole role = election.Decide(now + i * kStep);
    BOOST_TEST(role.watchesCatalog);
    BOOST_TEST(!role.sendsHeartbeats);
  }
}

BOOST_AUTO_TEST_CASE(IncludeAHostWithoutPeers)
{
  WatcherElection election("host", 1);
  election.SetPeers({});
  BOOST_TEST(election.Decide(now).sendsHeartbeats);
  BOOST_TEST(election.Decide(now).watchesCatalog);
}

BOOST_AUTO_TEST_SUITE_END()
