#include "NullEventSink.h"

#include "base/ManualClock.h"
#include "base/SeededRandom.h"
#include "catalog/tests/support/CatalogStub.h"
#include "daemon/ControlPlane.h"
#include "http/tests/support/EventLoop.h"
#include "membership/HeartbeatProtocol.h"
#include "membership/ListedHostJson.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

Member
CreateMember(const char* aName, std::uint16_t aPort, std::uint64_t aIncarnation)
{
  Member member;
  member.host = aName;
  member.region = "region";
  member.domain = "domain";
  member.incarnation = aIncarnation;
  member.relay = { "127.0.0.1", aPort };
  member.control = { "127.0.0.1", static_cast<std::uint16_t>(aPort + 1) };
  return member;
}

const Member kSelf = CreateMember("self", 1, 11);
const Member kPeer = CreateMember("peer", 3, 22);

// Lists both hosts.
class TwoHostList final : public CatalogStub
{
public:
  void List(Collection,
            std::string_view,
            ListFreshness,
            PageCallback aCallback) override
  {
    CatalogPage page;
    page.version = { 0, 1 };
    for (const Member& host : { kPeer, kSelf }) {
      page.objects.push_back({ host.host,
                               { 0, 1 },
                               ListedHostToJson({ host.host,
                                                  host.region,
                                                  host.domain,
                                                  host.relay.address,
                                                  host.relay.port,
                                                  host.control.port,
                                                  false }),
                               {} });
    }
    aCallback(std::move(page));
  }
};

// Keeps the receivers and the sent heartbeats, so that a test can deliver
// messages in both directions.
class FakeControlChannel final : public ControlChannel
{
public:
  void Send(const Endpoint&,
            ControlMessageType aType,
            ByteView aPayload) override
  {
    if (aType == ControlMessageType::Heartbeat) {
      heartbeats.emplace_back(aPayload.data(), aPayload.size());
    }
  }
  void SetReceiver(ControlMessageType aType, Receiver aReceiver) override
  {
    receivers[aType] = std::move(aReceiver);
  }

  std::map<ControlMessageType, Receiver> receivers;
  std::vector<std::string> heartbeats;
};

class ViewObserver final : public ControlPlaneObserver
{
public:
  void OnView(std::shared_ptr<const MembershipView> aView) override
  {
    view = std::move(aView);
  }
  void OnLeavingAddresses(const std::set<std::string>&) override {}
  void OnRevisionReported(std::uint64_t, const Member&) override {}
  void OnShares(std::vector<ShareGrant>) override {}
  void OnDemandReportDue() override {}

  std::shared_ptr<const MembershipView> view;
};

// Two hosts of which only one is under test.
class TwoHosts
{
public:
  TwoHosts()
  {
    plane.Start();
    const ListedHost self{
      "self", "region", "domain", "127.0.0.1", 1, 2, false
    };
    peer.SetListedHosts(std::span(&self, 1));
  }

  // Runs one tick of both hosts. The heartbeats of the peer always arrive,
  // those of the host under test only if aDoesPeerReceive is true.
  void Tick(bool aDoesPeerReceive)
  {
    clock.Advance(kHeartbeatTickInterval);
    for (const OutgoingHeartbeat& heartbeat : peer.Tick()) {
      channel.receivers.at(ControlMessageType::Heartbeat)(
        { "peer", kPeer.incarnation }, heartbeat.payload);
    }
    RunFor(kHeartbeatTickInterval);
    for (const std::string& heartbeat : std::exchange(channel.heartbeats, {})) {
      if (aDoesPeerReceive) {
        peer.OnHeartbeat({ "self", kSelf.incarnation }, heartbeat);
      }
    }
  }

  bool IsPeerKnown() const
  {
    const Member* const published = observer.view->Find("peer");
    return published != nullptr && published->incarnation != 0;
  }

  ManualClock clock;
  SeededRandom random{ 1 };
  TwoHostList list;
  FakeControlChannel channel;
  NullEventSink events;
  ViewObserver observer;
  ControlPlane plane{ kSelf, list, channel, clock, random, events, observer };
  HeartbeatProtocol peer{ kPeer, clock, random };
};

constexpr int kMaxTicks = 20;

} // namespace

BOOST_AUTO_TEST_SUITE(ControlPlaneReadiness)

// Guards against a host that reports itself ready based on a view that its
// traffic threads have not received yet: they would sign requests for an
// unknown incarnation of the owner, and the owner would refuse them.
BOOST_AUTO_TEST_CASE(DependsOnThePublishedView)
{
  ManualClock clock;
  SeededRandom random{ 1 };
  TwoHostList list;
  FakeControlChannel channel;
  NullEventSink events;
  ViewObserver observer;
  ControlPlane plane(kSelf, list, channel, clock, random, events, observer);
  plane.Start();
  BOOST_TEST(!plane.IsViewUsable());

  HeartbeatProtocol peer(kPeer, clock, random);
  const ListedHost self{ "self", "region", "domain", "127.0.0.1", 1, 2, false };
  peer.SetListedHosts(std::span(&self, 1));
  std::vector<OutgoingHeartbeat> heartbeats;
  for (int tick = 0; tick < 100 && heartbeats.empty(); ++tick) {
    clock.Advance(kHeartbeatTickInterval);
    heartbeats = peer.Tick();
  }
  BOOST_REQUIRE(!heartbeats.empty());
  channel.receivers.at(ControlMessageType::Heartbeat)(
    { "peer", kPeer.incarnation }, heartbeats.front().payload);
  const Member* const publishedPeer = observer.view->Find("peer");
  BOOST_REQUIRE(publishedPeer != nullptr);
  BOOST_TEST(plane.IsViewUsable() == (publishedPeer->incarnation != 0));
  BOOST_TEST(plane.View() == observer.view);
}

// Guards against a host that takes requests while it regards itself as
// isolated: it relays those of its own shards to another host, although the
// other hosts already regard it as the owner, and the two owners together
// exceed the slots.
BOOST_AUTO_TEST_CASE(StartsOnlyWhenThePeersReceiveThisHost)
{
  TwoHosts hosts;
  for (int i = 0; i < kMaxTicks && !hosts.IsPeerKnown(); ++i) {
    hosts.Tick(false);
  }
  BOOST_REQUIRE(hosts.IsPeerKnown());
  BOOST_REQUIRE(hosts.observer.view->IsIsolated());
  BOOST_TEST(!hosts.plane.IsViewUsable());

  for (int i = 0; i < kMaxTicks && hosts.observer.view->IsIsolated(); ++i) {
    BOOST_TEST(!hosts.plane.IsViewUsable());
    hosts.Tick(true);
  }
  BOOST_REQUIRE(!hosts.observer.view->IsIsolated());
  BOOST_TEST(hosts.plane.IsViewUsable());
}

// Guards against a host that stays unready because no host receives it.
BOOST_AUTO_TEST_CASE(StartsAloneAfterTenSeconds)
{
  TwoHosts hosts;
  hosts.Tick(false);
  BOOST_TEST(!hosts.plane.IsViewUsable());
  hosts.clock.Advance(std::chrono::seconds(10));
  BOOST_TEST(hosts.observer.view->IsIsolated());
  BOOST_TEST(hosts.plane.IsViewUsable());
}

BOOST_AUTO_TEST_SUITE_END()
