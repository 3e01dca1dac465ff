#include "base/ManualClock.h"
#include "base/SystemClock.h"
#include "membership/UdpControlChannel.h"

#include <QCoreApplication>
#include <QThread>

#include <boost/test/unit_test.hpp>

#include <algorithm>
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
    channel = UdpControlChannel::Create(settings, clock, reason);
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
  std::unique_ptr<UdpControlChannel> channel;
  std::vector<std::string> received;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UdpChannel)

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

// Guards against a callback on another thread, which would race with the state
// of the control thread.
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

// Guards against messages that are truncated to the size of a datagram.
BOOST_AUTO_TEST_CASE(DeliversTheLargestMessageWhole)
{
  TestHost first("first");
  TestHost second("second");
  const std::string large(kMaxControlPayloadBytes, 'x');
  // Any of the datagrams may be lost, even on the loopback interface.
  BOOST_TEST(WaitUntil([&] {
    first.Send(second.Address(), large);
    return !second.received.empty();
  }));
  BOOST_TEST((second.received.front() == "first:" + large));
}

BOOST_AUTO_TEST_SUITE(Refuses)

// Guards against messages of a host that does not have the fleet secret.
BOOST_AUTO_TEST_CASE(MessagesSealedWithAnotherSecret)
{
  TestHost untrusted("untrusted", "another secret");
  TestHost host("host");
  untrusted.Send(host.Address(), "hello");
  BOOST_TEST(
    WaitUntil([&] { return host.channel->Counters().unauthentic == 1; }));
  BOOST_TEST(host.received.empty());
}

// Guards against bytes that are not a control message.
BOOST_AUTO_TEST_CASE(BytesThatAreNoMessage)
{
  TestHost host("host");
  std::string reason;
  const auto untrusted = DatagramSocket::Create({ kLoopback, 0 }, reason);
  BOOST_TEST_REQUIRE(untrusted != nullptr, reason);
  BOOST_TEST(untrusted->Send(host.Address(), std::string(300, '\x9f')));
  BOOST_TEST(untrusted->Send(host.Address(), "x"));
  BOOST_TEST(untrusted->Send(
    host.Address(), DivideIntoDatagrams("no sealed message", 1).front()));
  BOOST_TEST(
    WaitUntil([&] { return host.channel->Counters().unauthentic == 3; }));
  BOOST_TEST(host.received.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithUnavailablePeers)

// Guards against a sender that blocks while its peer is unavailable.
BOOST_AUTO_TEST_CASE(SendNeverBlocks)
{
  std::uint16_t port = 0;
  {
    TestHost stopped("stopped");
    port = stopped.channel->Port();
  }
  TestHost host("host");
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 1000; ++i) {
    host.Send({ kLoopback, port }, std::to_string(i));
  }
  BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
}

// Guards against a peer that stays unreachable after its restart, and against
// messages from before its restart that reach its next incarnation.
BOOST_AUTO_TEST_CASE(ReachesAPeerAfterItsRestart)
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
  TestHost restarted("peer", "secret", port, 2);
  BOOST_TEST(WaitUntil([&] {
    host.Send({ kLoopback, port }, "after");
    return !restarted.received.empty() &&
           restarted.received.back() == "host:after";
  }));
  BOOST_TEST(std::ranges::count(restarted.received, "host:while away") == 0);
}

// Guards against a control thread that hangs when it closes the channel to a
// peer that became unavailable under load.
BOOST_AUTO_TEST_CASE(ClosesAtOnceWithMessagesInFlight)
{
  TestHost host("host");
  const auto start = std::chrono::steady_clock::now();
  for (int round = 0; round < 50; ++round) {
    TestHost peer("peer", "secret", 0, static_cast<std::uint64_t>(round) + 1);
    for (int i = 0; i < 20; ++i) {
      host.Send(peer.Address(), "to the peer");
      peer.Send(host.Address(), "from the peer");
    }
  }
  BOOST_TEST((std::chrono::steady_clock::now() - start < 5s));
}

// Guards against invalid addresses from the host list.
BOOST_AUTO_TEST_CASE(ReportsInvalidAddresses)
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
  BOOST_TEST(host.channel->Counters().sent == 0U);
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
    { "invalid listening address", { { "h", 1 }, { "nowhere", 0 }, {}, "s" } },
    { "invalid advertised address",
      { { "h", 1 }, { kLoopback, 0 }, { "nowhere", 0 }, "s" } },
    { "empty secret", { { "h", 1 }, { kLoopback, 0 }, {}, "" } },
    { "empty host name", { { "", 1 }, { kLoopback, 0 }, {}, "s" } },
  };
  for (const Case& each : cases) {
    BOOST_TEST_CONTEXT(each.description)
    {
      std::string reason;
      BOOST_TEST(
        (UdpControlChannel::Create(each.settings, clock, reason) == nullptr));
      BOOST_TEST(!reason.empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Datagrams)

BOOST_AUTO_TEST_CASE(AreJoinedInAnyOrder)
{
  DatagramAssembler assembler;
  ManualClock clock;
  const Endpoint sender{ kLoopback, 7 };
  std::string message;
  for (int i = 0; i < 3000; ++i) {
    message += static_cast<char>('a' + i % 26);
  }
  std::vector<std::string> parts = DivideIntoDatagrams(message, 5);
  BOOST_TEST_REQUIRE(parts.size() == 3U);
  std::ranges::reverse(parts);
  BOOST_TEST(!assembler.Add(sender, parts[0], clock.Now()));
  // A duplicate datagram counts once.
  BOOST_TEST(!assembler.Add(sender, parts[0], clock.Now()));
  BOOST_TEST(!assembler.Add(sender, parts[1], clock.Now()));
  BOOST_TEST((assembler.Add(sender, parts[2], clock.Now()) == message));
  BOOST_TEST(assembler.BufferedBytes() == 0U);
}

// Guards against mixing the parts of different senders or messages.
BOOST_AUTO_TEST_CASE(OfDifferentMessagesAreKeptApart)
{
  DatagramAssembler assembler;
  ManualClock clock;
  const std::string first(2000, 'a');
  const std::string second(2000, 'b');
  const auto firstParts = DivideIntoDatagrams(first, 1);
  const auto secondParts = DivideIntoDatagrams(second, 1);
  const Endpoint one{ kLoopback, 1 };
  const Endpoint two{ kLoopback, 2 };
  BOOST_TEST(!assembler.Add(one, firstParts[0], clock.Now()));
  BOOST_TEST(!assembler.Add(two, secondParts[1], clock.Now()));
  BOOST_TEST((assembler.Add(two, secondParts[0], clock.Now()) == second));
  BOOST_TEST((assembler.Add(one, firstParts[1], clock.Now()) == first));
}

// Guards against memory that grows with messages that are never completed.
BOOST_AUTO_TEST_CASE(OfIncompleteMessagesAreBounded)
{
  DatagramAssembler assembler;
  ManualClock clock;
  const Endpoint sender{ kLoopback, 7 };
  const std::string large(60'000, 'x');
  for (std::uint32_t number = 0; number < 200; ++number) {
    std::vector<std::string> parts = DivideIntoDatagrams(large, number);
    parts.pop_back();
    for (const std::string& part : parts) {
      BOOST_TEST_REQUIRE(!assembler.Add(sender, part, clock.Now()));
    }
  }
  BOOST_TEST(assembler.BufferedBytes() <= DatagramAssembler::kMaxBufferedBytes);
  clock.Advance(3s);
  const std::string small(2000, 'y');
  BOOST_TEST(
    !assembler.Add(sender, DivideIntoDatagrams(small, 999)[0], clock.Now()));
  BOOST_TEST(assembler.BufferedBytes() <= kMaxDatagramPart);
}

BOOST_AUTO_TEST_SUITE_END()
