#include "balancing/SelectionService.h"
#include "base/Digest.h"
#include "base/SeededRandom.h"
#include "base/SystemClock.h"
#include "http/tests/support/EventLoop.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

constexpr const char* kLoopback = "127.0.0.1";

struct Host
{
  explicit Host(const std::string& aName,
                std::uint16_t aPort = 0,
                std::uint64_t aSeed = 1)
    : name(aName)
    , random(aSeed)
  {
    SelectionServiceSettings settings;
    settings.host = aName;
    settings.domain = "piarco";
    settings.listen = { kLoopback, aPort };
    settings.budget = { 0.2, 10, 10s };
    std::string reason;
    service = SelectionService::Create(settings, clock, random, reason);
    BOOST_TEST_REQUIRE(service != nullptr, reason);
    SetServers(1);
  }

  void SetServers(int aCount)
  {
    std::vector<BackendServerRecord> records;
    for (int i = 0; i < aCount; ++i) {
      BackendServerRecord record;
      record.id = i == 0 ? "server" : "server-" + std::to_string(i);
      record.service = "permits";
      record.domain = "piarco";
      records.push_back(record);
    }
    service->SetDirectory(std::make_shared<BackendDirectory>(1, records));
  }

  PeerHost Address() const
  {
    return { name, "piarco", service->LocalEndpoint() };
  }

  SelectionOutcome Select()
  {
    std::optional<SelectionOutcome> outcome;
    SelectionRequest request;
    request.service = "permits";
    request.route = "approve";
    request.latencyObjective = 1s;
    request.remaining = 2s;
    service->Select(
      request, [&](const SelectionOutcome& aOutcome) { outcome = aOutcome; });
    BOOST_TEST_REQUIRE(WaitUntil([&] { return outcome.has_value(); }));
    return *outcome;
  }

  std::string name;
  SystemClock clock;
  SeededRandom random;
  std::unique_ptr<SelectionService> service;
};

// An owner of every service that receives queries and leaves the responses to
// the test.
struct SilentOwner
{
  SilentOwner()
    : socket(DatagramSocket::Create({ kLoopback, 0 }, reason))
  {
    BOOST_TEST_REQUIRE(socket != nullptr, reason);
    socket->SetHandler([this](const Endpoint& aSender, ByteView aBytes) {
      const auto message = DecodeSelectionMessage(aBytes);
      if (message && std::holds_alternative<SelectionQuery>(*message)) {
        queries.push_back(std::get<SelectionQuery>(*message).queryId);
        requester = aSender;
      }
    });
  }

  // Becomes the only other host that aHost knows, with the higher rank.
  PeerHost AddressFor(const std::string& aHost) const
  {
    const std::uint64_t key = StableHash("permits");
    int number = 0;
    while (StableHash("owner-" + std::to_string(number), key) <
           StableHash(aHost, key)) {
      ++number;
    }
    return { "owner-" + std::to_string(number),
             "piarco",
             socket->LocalEndpoint() };
  }

  void Respond(std::uint64_t aQueryId, const std::string& aServer)
  {
    SelectionResponse response;
    response.queryId = aQueryId;
    response.result.selection = Selection{ 1, aServer, 100ms, false };
    socket->Send(requester, EncodeSelectionMessage(response));
  }

  std::string reason;
  std::unique_ptr<DatagramSocket> socket;
  Endpoint requester;
  std::vector<std::uint64_t> queries;
};

// Relays datagrams between a host and the owner, and drops those that the test
// selects.
class LossyPath
{
public:
  explicit LossyPath(const Endpoint& aOwner)
  {
    std::string reason;
    socket_ = DatagramSocket::Create({ kLoopback, 0 }, reason);
    BOOST_TEST_REQUIRE(socket_ != nullptr, reason);
    socket_->SetHandler(
      [this, aOwner](const Endpoint& aSender, ByteView aBytes) {
        const bool isFromOwner = aSender == aOwner;
        if (!isFromOwner) {
          requester_ = aSender;
        }
        bool& isLost = isFromOwner ? loseNextToRequester : loseNextToOwner;
        if (!std::exchange(isLost, false)) {
          socket_->Send(isFromOwner ? requester_ : aOwner,
                        std::string_view(aBytes.data(), aBytes.size()));
        }
      });
  }

  // The address at which the requesting host reaches the owner.
  Endpoint NearEnd() const { return socket_->LocalEndpoint(); }

  bool loseNextToOwner = false;
  bool loseNextToRequester = false;

private:
  std::unique_ptr<DatagramSocket> socket_;
  Endpoint requester_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SharedSelection)

BOOST_AUTO_TEST_CASE(AHostWithoutPeersOwnsEveryService)
{
  Host host("one");
  const SelectionOutcome outcome = host.Select();
  BOOST_TEST(outcome.source == "self");
  BOOST_TEST(outcome.result.selection->backendServer == "server");
}

BOOST_AUTO_TEST_CASE(HostsAgreeOnTheOwner)
{
  Host one("one");
  Host two("two");
  const std::vector<PeerHost> hosts{ one.Address(), two.Address() };
  one.service->SetHosts(hosts);
  two.service->SetHosts(hosts);
  const std::string_view first = one.Select().source;
  const std::string_view second = two.Select().source;
  BOOST_TEST((first == "owner") != (second == "owner"));
  BOOST_TEST((first == "self") != (second == "self"));
}

// Guards against a single owner that all requests of a large service wait for.
BOOST_AUTO_TEST_CASE(ALargeServiceHasSeveralOwners)
{
  constexpr int kHosts = 6;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<PeerHost> addresses;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>("host-" + std::to_string(i)));
    addresses.push_back(hosts.back()->Address());
  }
  for (const auto& host : hosts) {
    host->SetServers(240);
    host->service->SetHosts(addresses);
  }
  std::set<std::string> owners;
  for (int i = 0; i < 60; ++i) {
    const SelectionOutcome outcome = hosts[0]->Select();
    BOOST_TEST(outcome.source != "alone");
    owners.insert(outcome.source == "self"
                    ? "self"
                    : std::to_string(outcome.handle.owner.port));
  }
  BOOST_TEST(owners.size() >= 3U);
}

// Guards against requests that wait for an owner that has stopped.
BOOST_AUTO_TEST_CASE(AnUnresponsiveOwnerIsReplaced)
{
  Host one("one");
  Host two("two");
  const bool isOwnerOne = [&] {
    one.service->SetHosts({ one.Address(), two.Address() });
    return one.Select().source == "self";
  }();
  Host& requester = isOwnerOne ? two : one;
  Host& owner = isOwnerOne ? one : two;
  requester.service->SetHosts({ one.Address(), two.Address() });
  const PeerHost address = owner.Address();
  BOOST_TEST(requester.Select().source == "owner");
  owner.service.reset();
  const auto begin = std::chrono::steady_clock::now();
  BOOST_TEST(requester.Select().source == "alone");
  BOOST_TEST(requester.Select().source == "alone");
  BOOST_TEST((std::chrono::steady_clock::now() - begin < 1s));
  // After two missed responses, the next host becomes the owner, which is the
  // requester itself.
  BOOST_TEST(requester.Select().source == "self");
}

// Guards against the response to a query of an earlier run of the host, from an
// owner that was paused meanwhile, that is taken for the response to another
// query.
BOOST_AUTO_TEST_CASE(ARestartedHostIgnoresResponsesToItsEarlierQueries)
{
  SilentOwner owner;
  auto host = std::make_unique<Host>("host", 0, 1);
  const std::uint16_t port = host->service->LocalEndpoint().port;
  host->service->SetHosts({ owner.AddressFor("host") });
  SelectionRequest request;
  request.service = "permits";
  request.latencyObjective = 1s;
  request.remaining = 2s;
  host->service->Select(request, [](const SelectionOutcome&) {});
  BOOST_TEST_REQUIRE(WaitUntil([&] { return owner.queries.size() == 1; }));
  host.reset();

  host = std::make_unique<Host>("host", port, 2);
  host->service->SetHosts({ owner.AddressFor("host") });
  std::optional<SelectionOutcome> outcome;
  host->service->Select(
    request, [&](const SelectionOutcome& aOutcome) { outcome = aOutcome; });
  BOOST_TEST_REQUIRE(WaitUntil([&] { return owner.queries.size() == 2; }));
  owner.Respond(owner.queries.front(), "earlier");
  owner.Respond(owner.queries.back(), "server");
  BOOST_TEST_REQUIRE(WaitUntil([&] { return outcome.has_value(); }));
  BOOST_TEST(outcome->source == "owner");
  BOOST_TEST(outcome->result.selection->backendServer == "server");
}

// Guards against a host that stays behind because its own watch of the catalog
// is broken.
BOOST_AUTO_TEST_CASE(AHostIsNotifiedWhenAPeerHasReadANewerVersion)
{
  Host one("one");
  Host two("two");
  const std::vector<PeerHost> hosts{ one.Address(), two.Address() };
  one.service->SetHosts(hosts);
  two.service->SetHosts(hosts);
  std::uint64_t receivedVersion = 0;
  one.service->SetKnownVersions({ { 1, 5 }, { 1, 5 } });
  two.service->SetKnownVersions({ { 1, 7 }, { 1, 5 } });
  Endpoint newerHost;
  const auto handler = [&](const KnownVersions& aKnown,
                           const Endpoint& aSender) {
    receivedVersion = aKnown.configuration.revision;
    newerHost = aSender;
  };
  one.service->SetNewerVersionsHandler(handler);
  two.service->SetNewerVersionsHandler([](const KnownVersions&,
                                          const Endpoint&) {
    BOOST_ERROR("the host with the newest version was notified of a newer one");
  });
  one.Select();
  two.Select();
  BOOST_TEST(WaitUntil([&] { return receivedVersion == 7; }));
  BOOST_TEST((newerHost == two.Address().address));
}

// Guards against a host that joins later and stays unknown to the others.
BOOST_AUTO_TEST_CASE(AHostAnnouncesItselfToNewPeers)
{
  Host old("old");
  Host fresh("fresh");
  fresh.service->SetHosts({ old.Address() });
  BOOST_TEST(WaitUntil([&] {
    return (old.Select().source == "owner") !=
           (fresh.Select().source == "owner");
  }));
}

// Guards against live hosts that are considered dead, and the reverse.
BOOST_AUTO_TEST_CASE(ALiveHostRespondsToAProbe)
{
  Host one("one");
  Host two("two");
  std::string announcedHost;
  one.service->SetAnnouncementHandler(
    [&](const std::string& aHost) { announcedHost = aHost; });
  const std::vector<PeerHost> hosts{ two.Address() };
  one.service->ProbeHosts(hosts);
  BOOST_TEST(WaitUntil([&] { return announcedHost == "two"; }));
  announcedHost.clear();
  two.service.reset();
  one.service->ProbeHosts(hosts);
  RunFor(100ms);
  BOOST_TEST(announcedHost.empty());
}

// Guards against a lost report or response that makes a healthy server appear
// unresponsive until long after the request's deadline.
BOOST_AUTO_TEST_CASE(ALostDatagramLeavesNoAttemptUnderWay)
{
  Host one("one");
  Host two("two");
  one.service->SetHosts({ one.Address(), two.Address() });
  const bool isOwnerOne = one.Select().source == "self";
  Host& requester = isOwnerOne ? two : one;
  Host& owner = isOwnerOne ? one : two;
  const int before = owner.service->PendingAttempts();
  LossyPath path(owner.service->LocalEndpoint());
  requester.service->SetHosts(
    { requester.Address(), { owner.name, "piarco", path.NearEnd() } });
  const SelectionOutcome reported = requester.Select();
  BOOST_TEST(reported.source == "owner");
  BOOST_TEST(owner.service->PendingAttempts() == before + 1);
  path.loseNextToOwner = true;
  requester.service->Finish(reported.handle, AttemptResult::Responded);
  BOOST_TEST(WaitUntil(
    [&] { return owner.service->PendingAttempts() == before; }, 500ms));
  path.loseNextToRequester = true;
  const SelectionOutcome alone = requester.Select();
  BOOST_TEST(alone.source == "alone");
  BOOST_TEST(WaitUntil(
    [&] { return owner.service->PendingAttempts() == before; }, 500ms));
}

// An owner and a requester of a service with one server of one slot, which
// holds two requests: no more have room.
struct FullServer
{
  FullServer()
    : one("one")
    , two("two")
  {
    one.service->SetHosts({ one.Address(), two.Address() });
    const SelectionOutcome outcome = one.Select();
    isOwnerOne = outcome.source == "self";
    one.service->Finish(outcome.handle, AttemptResult::Unused);
    Requester().service->SetHosts({ one.Address(), two.Address() });
    Owner().service->SetHosts({ one.Address(), two.Address() });
    first = Requester().Select();
    second = Requester().Select();
  }

  Host& Requester() { return isOwnerOne ? two : one; }
  Host& Owner() { return isOwnerOne ? one : two; }

  std::uint64_t Ask()
  {
    SelectionRequest request;
    request.service = "permits";
    request.route = "approve";
    request.latencyObjective = 1s;
    request.remaining = 10s;
    return Requester().service->Select(
      request,
      [this](const SelectionOutcome& aOutcome) { outcome = aOutcome; });
  }

  Host one;
  Host two;
  bool isOwnerOne = false;
  SelectionOutcome first;
  SelectionOutcome second;
  std::optional<SelectionOutcome> outcome;
};

BOOST_FIXTURE_TEST_SUITE(WithoutRoom, FullServer)

// Load: more requests than the servers hold.
BOOST_AUTO_TEST_CASE(ARequestWaitsAtItsOwnerUntilASlotIsFree)
{
  Ask();
  RunFor(400ms);
  BOOST_TEST(!outcome.has_value());
  Requester().service->Finish(first.handle, AttemptResult::Responded);
  BOOST_TEST_REQUIRE(WaitUntil([&] { return outcome.has_value(); }, 200ms));
  BOOST_TEST(outcome->source == "owner");
  BOOST_TEST(outcome->result.selection.has_value());
  BOOST_TEST(Owner().service->PendingAttempts() == 2);
}

// Load: requests of the owner's own callers wait beside those of other hosts.
BOOST_AUTO_TEST_CASE(TheOwnersOwnRequestsWaitToo)
{
  std::optional<SelectionOutcome> own;
  SelectionRequest request;
  request.service = "permits";
  request.latencyObjective = 1s;
  request.remaining = 10s;
  Owner().service->Select(
    request, [&](const SelectionOutcome& aOutcome) { own = aOutcome; });
  RunFor(1s);
  BOOST_TEST(!own.has_value());
  Requester().service->Finish(first.handle, AttemptResult::Responded);
  BOOST_TEST_REQUIRE(WaitUntil([&] { return own.has_value(); }, 200ms));
  BOOST_TEST(own->source == "self");
}

// Failure: the owner dies while a request waits there.
BOOST_AUTO_TEST_CASE(ARequestOutlivesTheOwnerAtWhichItWaits)
{
  Ask();
  RunFor(100ms);
  Owner().service.reset();
  BOOST_TEST_REQUIRE(WaitUntil([&] { return outcome.has_value(); }, 1'500ms));
  BOOST_TEST(outcome->source == "alone");
}

// Load: a caller that leaves must not take a slot from those that wait.
BOOST_AUTO_TEST_CASE(ARequestWhoseCallerHasLeftTakesNoSlot)
{
  const std::uint64_t id = Ask();
  RunFor(100ms);
  Requester().service->CancelWaiting(id);
  RunFor(50ms);
  Requester().service->Finish(first.handle, AttemptResult::Responded);
  RunFor(200ms);
  BOOST_TEST(!outcome.has_value());
  BOOST_TEST(Owner().service->PendingAttempts() == 1);
}

// Failure: the response with the selection of a waiting request is lost.
BOOST_AUTO_TEST_CASE(ALostSelectionIsMadeAgain)
{
  LossyPath path(Owner().service->LocalEndpoint());
  Requester().service->SetHosts(
    { Requester().Address(), { Owner().name, "piarco", path.NearEnd() } });
  Ask();
  RunFor(100ms);
  path.loseNextToRequester = true;
  Requester().service->Finish(first.handle, AttemptResult::Responded);
  BOOST_TEST_REQUIRE(WaitUntil([&] { return outcome.has_value(); }, 1s));
  BOOST_TEST(outcome->source == "owner");
  BOOST_TEST(Owner().service->PendingAttempts() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Messages)

BOOST_AUTO_TEST_CASE(AreReadAsTheyWereWritten)
{
  SelectionQuery query;
  query.queryId = 9;
  query.request.service = "permits";
  query.request.shard = { 3, 4 };
  query.request.route = "approve";
  query.request.purpose = AttemptPurpose::Hedge;
  query.request.isIdempotent = true;
  query.request.remaining = 250ms;
  query.request.excluded = { "a", "b" };
  query.known = { { 1, 3 }, { 2, 4 } };
  const auto message = DecodeSelectionMessage(EncodeSelectionMessage(query));
  BOOST_TEST_REQUIRE(message.has_value());
  const auto& read = std::get<SelectionQuery>(*message);
  BOOST_TEST(read.queryId == 9U);
  BOOST_TEST((read.request.shard == Shard{ 3, 4 }));
  BOOST_TEST(read.request.route == "approve");
  BOOST_TEST((read.request.purpose == AttemptPurpose::Hedge));
  BOOST_TEST((read.request.remaining == Duration(250ms)));
  BOOST_TEST(read.request.excluded.size() == 2U);
  BOOST_TEST((read.known == query.known));
}

BOOST_AUTO_TEST_CASE(AHeartbeatIsReadAsItWasWritten)
{
  const WatcherHeartbeat heartbeat{ "edge-1",
                                    false,
                                    { { 1, 3 }, { 2, 4 } },
                                    { { 3, 5 }, { kMaxCatalogGeneration, 6 } },
                                    { { 5, 1 }, { 6, 2 } },
                                    250ms,
                                    1500ms,
                                    8382 };
  const auto message =
    DecodeSelectionMessage(EncodeSelectionMessage(heartbeat));
  BOOST_TEST_REQUIRE(message.has_value());
  const auto& read = std::get<WatcherHeartbeat>(*message);
  BOOST_TEST(read.host == "edge-1");
  BOOST_TEST(!read.isCatalogReachable);
  BOOST_TEST((read.known == heartbeat.known));
  BOOST_TEST((read.readUpTo == heartbeat.readUpTo));
  BOOST_TEST((read.historyBegin == heartbeat.historyBegin));
  BOOST_TEST((read.catalogAge == 250ms));
  BOOST_TEST((read.configurationAge == 1500ms));
  BOOST_TEST(read.snapshotPort == 8382);
  // The ages of what nothing has confirmed.
  const auto unknown =
    DecodeSelectionMessage(EncodeSelectionMessage(WatcherHeartbeat()));
  BOOST_TEST_REQUIRE(unknown.has_value());
  BOOST_TEST((std::get<WatcherHeartbeat>(*unknown).catalogAge >= 1h));
  BOOST_TEST((std::get<WatcherHeartbeat>(*unknown).configurationAge >= 1h));
}

// Guards against datagrams from unrelated senders and of other protocol
// versions.
BOOST_AUTO_TEST_CASE(ThatAreMalformedAreRefused)
{
  const std::string whole =
    EncodeSelectionMessage(SelectionReport{ { { 4, AttemptResult::Broken } } });
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_TEST(!DecodeSelectionMessage(ByteView(whole).first(size)));
  }
  BOOST_TEST(!DecodeSelectionMessage(std::string_view(whole + "x")));
  // Protocol version, message type, and the result of ticket 4.
  const auto read = [](std::string_view aBytes) {
    return DecodeSelectionMessage(aBytes).has_value();
  };
  BOOST_TEST(read("\x83\x04\x03\x82\x04\x05"));
  BOOST_TEST(!read("\x83\x03\x03\x82\x04\x05"));
  BOOST_TEST(!read("\x83\x05\x03\x82\x04\x05"));
  BOOST_TEST(!read("\x83\x04\x03\x82\x04\x18\x63"));
  BOOST_TEST(!read("\x83\x04\x03\x83\x04\x05\x04"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
