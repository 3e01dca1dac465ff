#include "balancing/BackendSelector.h"
#include "balancing/IdleConnections.h"
#include "base/ManualClock.h"
#include "base/SeededRandom.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kServers = 20;
constexpr int kHosts = 30;

// Servers with four slots each, which serve hosts in their failure domain
// within 200 ms a request.
struct SharedServers
{
  explicit SharedServers(std::size_t aServers)
  {
    std::vector<BackendServerRecord> records;
    for (std::size_t i = 0; i < aServers; ++i) {
      BackendServerRecord record;
      record.id = std::to_string(i);
      record.service = "payouts";
      record.domain = "sapporo";
      record.slots = 4;
      records.push_back(record);
    }
    selector.SetDirectory(std::make_shared<BackendDirectory>(1, records));
  }

  SelectionRequest RequestOf(int aHost, bool aIsIdempotent) const
  {
    SelectionRequest request;
    request.service = "payouts";
    request.route = "order";
    request.isIdempotent = aIsIdempotent;
    request.latencyObjective = 1s;
    request.remaining = 2s;
    request.host = "host-" + std::to_string(aHost);
    request.domain = "sapporo";
    return request;
  }

  Selection Select(int aHost, bool aIsIdempotent = true)
  {
    const auto selection =
      selector.Select(RequestOf(aHost, aIsIdempotent), clock.Now()).selection;
    BOOST_TEST_REQUIRE(selection.has_value());
    return *selection;
  }

  // Lets aHost make one request, at any server but aExcluded. Returns its
  // server.
  std::string Serve(int aHost,
                    bool aIsIdempotent = true,
                    const std::string& aExcluded = {})
  {
    SelectionRequest request = RequestOf(aHost, aIsIdempotent);
    request.excluded.push_back(aExcluded);
    const auto selection = selector.Select(request, clock.Now()).selection;
    BOOST_TEST_REQUIRE(selection.has_value());
    clock.Advance(200ms);
    selector.Finish(selection->ticket, AttemptResult::Responded, clock.Now());
    return selection->backendServer;
  }

  ManualClock clock;
  SeededRandom random{ 3 };
  BackendSelector selector{ { 0.2, 8, 10s }, random };
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionReuse)

BOOST_AUTO_TEST_SUITE(IdleConnectionsOfAServer)

BOOST_AUTO_TEST_CASE(AreUsedByOneAttemptEach)
{
  const Instant now;
  IdleConnections connections;
  BOOST_TEST(!connections.Has("a", now));
  connections.OnResponse("a", now);
  connections.OnResponse("a", now);
  BOOST_TEST(connections.Has("a", now));
  BOOST_TEST(!connections.Has("b", now));
  connections.OnAttemptStarted("a");
  BOOST_TEST(connections.Has("a", now));
  connections.OnAttemptStarted("a");
  BOOST_TEST(!connections.Has("a", now));
}

// Hosts close idle connections after 7 s.
BOOST_AUTO_TEST_CASE(AreNotExpectedAfterTheIdleTime)
{
  const Instant now;
  IdleConnections connections;
  connections.OnResponse("a", now);
  BOOST_TEST(connections.Has("a", now + 6s));
  BOOST_TEST(!connections.Has("a", now + 7s));
}

// A service that is used by a thousand hosts.
BOOST_AUTO_TEST_CASE(AreForgottenBeyondTheMostRecent)
{
  const Instant now;
  IdleConnections connections;
  for (int i = 0; i < 1'000; ++i) {
    connections.OnResponse("host-" + std::to_string(i), now);
  }
  int known = 0;
  for (int i = 0; i < 1'000; ++i) {
    known += connections.Has("host-" + std::to_string(i), now) ? 1 : 0;
  }
  BOOST_TEST(known == 32);
  BOOST_TEST(connections.Has("host-999", now));
}

BOOST_AUTO_TEST_SUITE_END()

// 30 hosts with 3.3 requests per second each before 20 servers. A host that
// draws servers at random would find an idle connection for 63% of its
// requests.
BOOST_AUTO_TEST_CASE(MostRequestsUseAServerWithAnIdleConnection)
{
  SharedServers load(kServers);
  std::array<IdleConnections, kServers> idle;
  std::array<int, kServers> requests{};
  struct Running
  {
    Selection selection;
    std::string host;
  };
  std::multimap<Instant, Running> running;
  constexpr int kRequests = 6'000;
  int reused = 0;
  for (int i = 0; i < kRequests; ++i) {
    const int number = static_cast<int>(load.random.Below(kHosts));
    const std::string host = "host-" + std::to_string(number);
    const Selection selection = load.Select(number, i % 2 == 0);
    const std::size_t server = std::stoul(selection.backendServer);
    ++requests.at(server);
    reused += idle.at(server).Has(host, load.clock.Now()) ? 1 : 0;
    idle.at(server).OnAttemptStarted(host);
    running.emplace(load.clock.Now() + 200ms, Running{ selection, host });
    load.clock.Advance(10ms);
    while (!running.empty() && running.begin()->first <= load.clock.Now()) {
      const Running done = running.begin()->second;
      running.erase(running.begin());
      load.selector.Finish(
        done.selection.ticket, AttemptResult::Responded, load.clock.Now());
      idle.at(std::stoul(done.selection.backendServer))
        .OnResponse(done.host, load.clock.Now());
    }
  }
  BOOST_TEST_MESSAGE("reused " << reused << " busiest "
                               << *std::ranges::max_element(requests));
  BOOST_TEST(reused > kRequests * 3 / 4);
  // The servers stay evenly loaded.
  constexpr double kMean = static_cast<double>(kRequests) / kServers;
  BOOST_TEST(*std::ranges::max_element(requests) < kMean * 1.3);
  BOOST_TEST(*std::ranges::min_element(requests) > kMean * 0.7);
}

// One of two servers has not responded to anybody for 600 ms, so a request that
// must not run twice would not use the idle connection to it.
BOOST_AUTO_TEST_CASE(OnlyRequestsThatMayRunTwiceReturnToASilentServer)
{
  constexpr int kRounds = 40;
  for (const bool isIdempotent : { true, false }) {
    SharedServers load(2);
    int returned = 0;
    for (int host = 1; host <= kRounds; ++host) {
      const std::string server = load.Serve(host);
      load.clock.Advance(100ms);
      load.Serve(0, true, server);
      load.clock.Advance(350ms);
      returned += load.Serve(host, isIdempotent) == server ? 1 : 0;
    }
    BOOST_TEST_CONTEXT("idempotent " << isIdempotent << " returned "
                                     << returned)
    {
      BOOST_TEST((returned > kRounds * 3 / 4) == isIdempotent);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
