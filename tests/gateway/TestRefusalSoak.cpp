#include "base/SeededRandom.h"
#include "platform/standin/StoreStandIn.h"
#include "platform/tests/support/GatewayHost.h"
#include "platform/tests/support/SoakCaller.h"
#include "platform/tests/support/SoakSeed.h"
#include "platform/tests/support/UnreliableServer.h"

#include <map>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kHosts = 3;
constexpr int kServers = 6;
constexpr int kCallers = 16;
constexpr int kMaxAttempts = 3;
constexpr std::chrono::seconds kSoakTime{ 15 };
// The mean time from one change of the servers or hosts to the next.
constexpr std::chrono::milliseconds kMeanChangeInterval{ 100 };
// Entries of earlier ids stay in the store for this long at most.
constexpr std::chrono::milliseconds kMaxEntryTime{ 3'000 };
// Requests that run later than this after the last response are not seen.
constexpr std::chrono::milliseconds kSettlingTime{ 1'000 };

// Several hosts, whose callers send requests while the servers refuse, fail,
// start again under other ids and are listed under several ids, and while hosts
// are replaced. The seed sets all choices but not the times of the threads, so
// a seed repeats a run roughly.
struct SoakFixture
{
  SoakFixture()
    : seed(SoakSeed())
    , random(seed)
    , store(StoreStandIn::Create({ kLoopback, 0 }, reason))
  {
    fmt::print("FILBERTBEAM_SOAK_SEED={}\n", seed);
    store->Write("config", "main", Configuration(kMaxAttempts));
    for (int i = 0; i < kServers; ++i) {
      servers.push_back(
        std::make_unique<UnreliableServer>(ledger, random, NewServerId()));
      AddEntry(*servers.back(), servers.back()->Id());
    }
    for (int i = 0; i < kHosts; ++i) {
      hosts.push_back(StartHost(i));
    }
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<SoakCaller>(
        ledger, random, fmt::format("request-{}", i)));
    }
  }

  std::string NewServerId() { return fmt::format("i-{}", ++serverIds); }

  std::unique_ptr<GatewayHost> StartHost(std::size_t aIndex) const
  {
    // Refused requests are retried without a limit.
    GatewaySettings settings;
    settings.extraAttemptRatio = kMaxAttempts;
    settings.extraAttemptBurst = 1e6;
    auto host = std::make_unique<GatewayHost>(fmt::format("host-{}", aIndex),
                                              store->Port(),
                                              std::vector<Endpoint>{},
                                              0,
                                              settings);
    BOOST_TEST_REQUIRE(host->WaitUntilReady());
    return host;
  }

  void AddEntry(const UnreliableServer& aServer,
                const std::string& aId,
                const char* aState = "ready")
  {
    store->Write("servers",
                 aId,
                 ServerEntry(aServer.Port()),
                 { { "state", aState }, { "sequence", ++sequence } });
  }

  std::chrono::milliseconds DrawTime(std::chrono::milliseconds aBelow)
  {
    const auto bound = static_cast<std::uint64_t>(aBelow.count());
    return std::chrono::milliseconds(random.Below(bound));
  }

  // Removes the entry after a time of at most kMaxEntryTime.
  void RemoveEntryLater(const std::string& aId)
  {
    removals.emplace(Clock::now() + DrawTime(kMaxEntryTime), aId);
  }

  void RemoveDueEntries()
  {
    while (!removals.empty() && removals.begin()->first <= Clock::now()) {
      store->Delete("servers", removals.begin()->second);
      removals.erase(removals.begin());
    }
  }

  void RestartUnderNewId(UnreliableServer& aServer)
  {
    RemoveEntryLater(aServer.Id());
    aServer.Restart(NewServerId());
    AddEntry(aServer, aServer.Id());
  }

  void ReportDraining(const UnreliableServer& aServer)
  {
    AddEntry(aServer, aServer.Id(), "draining");
    RemoveEntryLater(aServer.Id());
  }

  void AddSecondEntry(const UnreliableServer& aServer)
  {
    const std::string id = NewServerId();
    AddEntry(aServer, id);
    RemoveEntryLater(id);
  }

  void ReplaceHost(std::size_t aIndex)
  {
    hosts[aIndex].reset();
    hosts[aIndex] = StartHost(aIndex);
  }

  void ChangeSomething()
  {
    UnreliableServer& server = *servers[random.Below(servers.size())];
    switch (random.Below(20)) {
      case 0:
        ReplaceHost(random.Below(hosts.size()));
        return;
      case 1:
        ReportDraining(server);
        return;
      case 2:
      case 3:
        server.Restart(server.Id());
        return;
      case 4:
      case 5:
      case 6:
        AddSecondEntry(server);
        return;
      default:
        RestartUnderNewId(server);
    }
  }

  void Play()
  {
    const auto end = Clock::now() + kSoakTime;
    auto nextChange = Clock::now();
    while (Clock::now() < end) {
      RunFor(1ms);
      for (const auto& caller : callers) {
        const auto& host = hosts[random.Below(hosts.size())];
        caller->Continue(host->gateway->FrontPort());
      }
      RemoveDueEntries();
      if (Clock::now() >= nextChange) {
        ChangeSomething();
        nextChange = Clock::now() + DrawTime(2 * kMeanChangeInterval);
      }
    }
  }

  // Waits for the last responses, and for requests that run after them.
  void Settle()
  {
    const auto isWaiting = [](const auto& aCaller) {
      aCaller->Read();
      return aCaller->IsWaiting();
    };
    BOOST_TEST(
      WaitUntil([&] { return std::ranges::none_of(callers, isWaiting); }));
    RunFor(kSettlingTime);
  }

  int Refusals() const
  {
    int count = 0;
    for (const auto& server : servers) {
      count += server->Refusals();
    }
    return count;
  }

  std::string reason;
  std::uint64_t seed;
  SeededRandom random;
  RequestLedger ledger;
  std::unique_ptr<StoreStandIn> store;
  std::vector<std::unique_ptr<UnreliableServer>> servers;
  std::vector<std::unique_ptr<GatewayHost>> hosts;
  std::vector<std::unique_ptr<SoakCaller>> callers;
  // The ids of the entries to remove, by time.
  std::multimap<Clock::time_point, std::string> removals;
  int serverIds = 0;
  int sequence = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestsToUnreliableServers, SoakFixture)

// Guards against "not run" for requests that run, requests that run twice,
// responses to other requests and requests that are changed on their way.
BOOST_AUTO_TEST_CASE(GetResponsesThatAreTrueOfThem)
{
  Play();
  Settle();
  const std::size_t succeeded = ledger.Responses(200, 299);
  const std::size_t refused = ledger.Responses(503, 503);
  fmt::print("requests={} succeeded={} refused={} refusals_of_servers={}\n",
             ledger.Requests(),
             succeeded,
             refused,
             Refusals());
  for (const std::string& violation : ledger.Violations()) {
    BOOST_ERROR(violation);
  }
  // Otherwise the run shows nothing.
  BOOST_TEST(succeeded > 0U);
  BOOST_TEST(refused > 0U);
  BOOST_TEST(Refusals() > 0);
}

BOOST_AUTO_TEST_SUITE_END()
