#include "base/ManualClock.h"
#include "base/SystemClock.h"
#include "membership/NngControlChannel.h"

#include <QCoreApplication>
#include <QThread>

#include <nng/protocol/pipeline0/push.h>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr std::chrono::seconds kDeadline{ 10 };

bool
WaitUntil(const std::function<bool()>& aCondition,
          std::chrono::milliseconds aTimeout = kDeadline)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::AllEvents);
    QThread::msleep(1);
  }
  return true;
}

struct TestHost
{
  explicit TestHost(const std::string& aName,
                    const std::string& aSecret = "secret",
                    std::uint16_t aPort = 0,
                    std::uint64_t aIncarnation = 1)
  {
    ControlChannelSettings settings;
    settings.self = { aName, aIncarnation };
    settings.listen = { kLoopback, aPort };
    settings.secret = aSecret;
    std::string reason;
    channel = NngControlChannel::Create(settings, clock, reason);
    BOOST_TEST_REQUIRE(channel != nullptr, reason);
    channel->SetReceiver(
      ControlMessageType::Heartbeat,
      [this](const ControlSender& aSender, ByteView aPayload) {
        received.push_back(aSender.host + ":" +
                           std::string(aPayload.begin(), aPayload.end()));
      });
  }

  Endpoint Address() const { return { kLoopback, channel->Port() }; }
  void Send(const Endpoint& aTo, const std::string& aText)
  {
    channel->Send(aTo, ControlMessageType::Heartbeat, aText);
  }

  SystemClock clock;
  std::unique_ptr<NngControlChannel> channel;
  std::vector<std::string> received;
};

} // namespace

BOOST_AUTO_TEST_SUITE(NngChannel)

BOOST_AUTO_TEST_CASE(DeliversMessagesInBothDirections)
{
  TestHost first("first");
  TestHost second("second");
  first.Send(second.Address(), "one");
  first.Send(second.Address(), "two");
  second.Send(first.Address(), "three");
  BOOST_TEST(WaitUntil(
    [&] { return second.received.size() == 2 && first.received.size() == 1; }));
  BOOST_TEST(second.received.front() == "first:one");
  BOOST_TEST(second.received.back() == "first:two");
  BOOST_TEST(first.received.front() == "second:three");
}

// Guards against a callback on a thread of nng, which would race with the
// state of the control thread.
BOOST_AUTO_TEST_CASE(CallsReceiversOnTheThreadOfItsCreator)
{
  TestHost first("first");
  TestHost second("second");
  QThread* thread = nullptr;
  second.channel->SetReceiver(
    ControlMessageType::ShareGrant,
    [&](const ControlSender&, ByteView) { thread = QThread::currentThread(); });
  first.channel->Send(
    second.Address(), ControlMessageType::ShareGrant, std::string("x"));
  BOOST_TEST(WaitUntil([&] { return thread != nullptr; }));
  BOOST_TEST(thread == QThread::currentThread());
}

BOOST_AUTO_TEST_SUITE(RefusesToTrust)

// Guards against a host that does not know the fleet secret.
BOOST_AUTO_TEST_CASE(AnotherSecret)
{
  TestHost stranger("stranger", "another secret");
  TestHost host("host");
  stranger.Send(host.Address(), "hello");
  BOOST_TEST(
    WaitUntil([&] { return host.channel->Counters().unauthentic == 1; }));
  BOOST_TEST(host.received.empty());
}

// Guards against bytes that are no control message at all.
BOOST_AUTO_TEST_CASE(BytesThatAreNoMessage)
{
  TestHost host("host");
  nng_socket raw;
  BOOST_TEST_REQUIRE(nng_push0_open(&raw) == 0);
  const std::string url =
    "tcp://127.0.0.1:" + std::to_string(host.channel->Port());
  BOOST_TEST_REQUIRE(nng_dial(raw, url.c_str(), nullptr, 0) == 0);
  std::string bytes(300, '\x9f');
  BOOST_TEST(nng_send(raw, bytes.data(), bytes.size(), 0) == 0);
  BOOST_TEST(
    WaitUntil([&] { return host.channel->Counters().unauthentic == 1; }));
  nng_close(raw);
  BOOST_TEST(host.received.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithPeersThatAreNotThere)

// Guards against a sender that blocks or grows while its peer is away.
BOOST_AUTO_TEST_CASE(SendNeverBlocksAndItsQueueIsBounded)
{
  std::uint16_t port = 0;
  {
    TestHost gone("gone");
    port = gone.channel->Port();
  }
  TestHost host("host");
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 1000; ++i) {
    host.Send({ kLoopback, port }, std::to_string(i));
  }
  BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
  BOOST_TEST(host.channel->Counters().sent <= 20U);
  BOOST_TEST(host.channel->Counters().sendFailures >= 980U);
  BOOST_TEST(!host.channel->LastReason().empty());
}

// Guards against a peer that is given up for good, and against the harm of
// what waited for it: messages queued before are delivered late, and refused.
BOOST_AUTO_TEST_CASE(ReachesAPeerThatComesBack)
{
  TestHost host("host");
  std::uint16_t port = 0;
  {
    TestHost peer("peer");
    port = peer.channel->Port();
    host.Send(peer.Address(), "before");
    BOOST_TEST(WaitUntil([&] { return peer.received.size() == 1; }));
  }
  host.Send({ kLoopback, port }, "while away");
  TestHost again("peer", "secret", port, 2);
  BOOST_TEST(WaitUntil([&] {
    host.Send({ kLoopback, port }, "after");
    return !again.received.empty() && again.received.back() == "host:after";
  }));
}

// Guards against waiting for TCP's own retries after a partition.
BOOST_AUTO_TEST_CASE(RedialOpensANewConnection)
{
  TestHost host("host");
  TestHost peer("peer");
  host.Send(peer.Address(), "one");
  BOOST_TEST(WaitUntil([&] { return peer.received.size() == 1; }));
  host.channel->Redial(peer.Address());
  BOOST_TEST(host.channel->OpenPeers() == 0U);
  host.Send(peer.Address(), "two");
  BOOST_TEST(WaitUntil([&] { return peer.received.size() == 2; }));
}

// Guards against invalid addresses from the host list.
BOOST_AUTO_TEST_CASE(ReportsAddressesThatAreNone)
{
  TestHost host("host");
  const Endpoint cases[] = { { "", 9000 },
                             { "not an address", 9000 },
                             { kLoopback, 0 },
                             { "127.0.0.1:80/x", 9000 } };
  std::uint64_t failures = 0;
  for (const Endpoint& each : cases) {
    host.Send(each, "x");
    BOOST_TEST(host.channel->Counters().sendFailures == ++failures);
    BOOST_TEST(!host.channel->LastReason().empty());
  }
  BOOST_TEST(host.channel->OpenPeers() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(ReportsWhyItCannotListen)
{
  TestHost host("host");
  SystemClock clock;
  struct Case
  {
    const char* description;
    ControlChannelSettings settings;
  };
  const Case cases[] = {
    { "port in use",
      { { "h", 1 }, { kLoopback, host.channel->Port() }, {}, "s" } },
    { "no address", { { "h", 1 }, { "nowhere", 0 }, {}, "s" } },
    { "no advertised address",
      { { "h", 1 }, { kLoopback, 0 }, { "nowhere", 0 }, "s" } },
    { "no secret", { { "h", 1 }, { kLoopback, 0 }, {}, "" } },
    { "no name", { { "", 1 }, { kLoopback, 0 }, {}, "s" } },
  };
  for (const Case& each : cases) {
    BOOST_TEST_CONTEXT(each.description)
    {
      std::string reason;
      BOOST_TEST(
        (NngControlChannel::Create(each.settings, clock, reason) == nullptr));
      BOOST_TEST(!reason.empty());
    }
  }
}

// Guards against sockets that stay open for hosts that are long gone.
BOOST_AUTO_TEST_CASE(ClosesSocketsOfPeersNotUsedForAMinute)
{
  ManualClock clock;
  ControlChannelSettings settings;
  settings.self = { "host", 1 };
  settings.listen = { kLoopback, 0 };
  settings.secret = "s";
  std::string reason;
  const auto channel = NngControlChannel::Create(settings, clock, reason);
  BOOST_TEST_REQUIRE(channel != nullptr, reason);
  channel->Send(
    { kLoopback, 9 }, ControlMessageType::Heartbeat, std::string("x"));
  clock.Advance(59s);
  channel->Send(
    { kLoopback, 10 }, ControlMessageType::Heartbeat, std::string("x"));
  channel->CloseIdlePeers();
  BOOST_TEST(channel->OpenPeers() == 2U);
  clock.Advance(1s);
  channel->CloseIdlePeers();
  BOOST_TEST(channel->OpenPeers() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
