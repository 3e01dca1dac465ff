#include "base/Digest.h"
#include "http/tests/support/RawPeers.h"
#include "platform/standin/StoreStandIn.h"
#include "platform/tests/support/GatewayHost.h"

#include <deque>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

constexpr int kHosts = 7;
constexpr double kRatio = 0.2;
constexpr double kBurst = 20;
constexpr std::chrono::seconds kWindow{ 3 };

// Hosts with backend servers that refuse every request, so that each request
// asks for a retry. All requests go to the first host, which is the last in the
// ranking of owners of the service.
struct RefusingFleet
{
  RefusingFleet()
    : store(StoreStandIn::Create({ kLoopback, 0 }, reason))
  {
    store->Write("config", "main", Configuration(2));
    for (int i = 0; i < 4; ++i) {
      servers.push_back(std::make_unique<RawServer>());
      servers.back()->onReceived = [this](RawConnection& aConnection) {
        Refuse(aConnection);
      };
      store->Write("servers",
                   "i-" + std::to_string(i),
                   ServerEntry(servers.back()->Address().port),
                   { { "state", "ready" }, { "sequence", 1 } });
    }
    GatewaySettings settings;
    settings.extraAttemptRatio = kRatio;
    settings.extraAttemptBurst = kBurst;
    settings.extraAttemptWindow = kWindow;
    for (const std::string& name : NamesByRank()) {
      hosts.push_back(std::make_unique<GatewayHost>(
        name, store->Port(), std::vector<Endpoint>{}, 0, settings));
    }
    for (const auto& host : hosts) {
      BOOST_TEST_REQUIRE(host->WaitUntilReady());
    }
    // Waits until the hosts have found each other and have then been aware of
    // each other for a whole window.
    RunFor(2s + kWindow);
  }

  // Sorts the hosts by their rank as an owner of the service; the last one is
  // queried first.
  static std::vector<std::string> NamesByRank()
  {
    std::vector<std::string> names;
    names.reserve(kHosts);
    for (int i = 0; i < kHosts; ++i) {
      names.push_back("host-" + std::to_string(i));
    }
    const std::uint64_t key = StableHash("permits");
    std::ranges::sort(names, {}, [key](const std::string& aName) {
      return StableHash(aName, key);
    });
    return names;
  }

  void Refuse(RawConnection& aConnection)
  {
    const auto end = aConnection.received.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    ++arrivals;
    const auto at = aConnection.received.find("Request-Id: ");
    const std::string id = aConnection.received.substr(at + 12, 6);
    aConnection.received.erase(0, end + 4);
    aConnection.Send("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id +
                     "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }

  // Sends the request of one caller and waits for the refusal.
  void Request()
  {
    const std::string id = std::to_string(100'000 + requests++);
    RawConnection caller(hosts.front()->gateway->FrontPort());
    caller.Send("GET /lookup/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " +
                id + "\r\nRequest-Timeout-Ms: 2000\r\n\r\n");
    BOOST_TEST(WaitUntil(
      [&] { return caller.received.find("\r\n\r\n") != std::string::npos; }));
    BOOST_TEST(caller.received.starts_with("HTTP/1.1 503"));
  }

  int ExtraAttempts() const { return arrivals - requests; }

  std::string reason;
  std::unique_ptr<StoreStandIn> store;
  std::vector<std::unique_ptr<RawServer>> servers;
  std::vector<std::unique_ptr<GatewayHost>> hosts;
  int requests = 0;
  int arrivals = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ExtraAttemptsOfAllHosts, RefusingFleet)

// Guards against successive owners of a service that each spend a whole budget
// within one window.
BOOST_AUTO_TEST_CASE(StayWithinOneBudgetWhileOwnersAreLost)
{
  constexpr int kRequestsPerOwner = 20;
  const auto begin = std::chrono::steady_clock::now();
  while (true) {
    for (int i = 0; i < kRequestsPerOwner; ++i) {
      Request();
    }
    if (hosts.size() == 1) {
      break;
    }
    hosts.pop_back();
  }
  // All requests were sent within one window.
  BOOST_TEST_REQUIRE((std::chrono::steady_clock::now() - begin < kWindow));
  BOOST_TEST(requests == kRequestsPerOwner * kHosts);
  BOOST_TEST(ExtraAttempts() <= kRatio * requests + kBurst);
}

// Guards against a budget that is respected only because no request is retried.
BOOST_AUTO_TEST_CASE(AreAllowedToTheOwner)
{
  for (int i = 0; i < 50; ++i) {
    Request();
  }
  BOOST_TEST(ExtraAttempts() >= 0.6 * kBurst);
  BOOST_TEST(ExtraAttempts() <= kRatio * requests + kBurst);
}

BOOST_AUTO_TEST_SUITE_END()
