#include "http/tests/support/EvidenceFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

const std::string kEmptyOk = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::string kTwoPieces =
  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
// More than the buffers of both sockets hold.
constexpr std::size_t kLargeBody = 16UL * 1024 * 1024;

enum class GiveUp
{
  Cancel,
  CancelQueued,
  DestroyClient,
  CloseIdleConnectionsAndCancel,
};

std::ostream&
operator<<(std::ostream& aStream, GiveUp aGiveUp)
{
  constexpr std::array<const char*, 4> kNames{
    "cancel", "cancel-queued", "destroy-client", "close-idle-and-cancel"
  };
  return aStream << kNames.at(static_cast<std::size_t>(aGiveUp));
}

const std::vector<GiveUp> kWaysToGiveUp{
  GiveUp::Cancel,
  GiveUp::CancelQueued,
  GiveUp::DestroyClient,
  GiveUp::CloseIdleConnectionsAndCancel
};

// Gives up an exchange after a number of turns of the event loop.
struct StagesFixture : EvidenceFixture
{
  void GiveUpOn(Trial& aTrial, GiveUp aGiveUp)
  {
    switch (aGiveUp) {
      case GiveUp::Cancel:
        aTrial.GiveUp();
        return;
      case GiveUp::CancelQueued:
        // Runs in the next turn, before or after its socket events.
        QTimer::singleShot(0, [&aTrial] { aTrial.GiveUp(); });
        QCoreApplication::processEvents();
        return;
      case GiveUp::DestroyClient:
        client.reset();
        aTrial.wasUnsentAtEnd = !aTrial.exchange->AnyByteSent();
        client = HttpClient::Create({});
        return;
      case GiveUp::CloseIdleConnectionsAndCancel:
        client->CloseIdleConnections(server.Address());
        aTrial.GiveUp();
        return;
    }
  }
};

// A server whose queue of connections to be accepted is full.
struct FullQueueFixture : EvidenceFixture
{
  FullQueueFixture()
  {
    for (int i = 0; i < kFillers; ++i) {
      fillers.push_back(Start(full, 0, { true, 5'000ms }));
    }
    RunFor(20ms);
  }

  static ServerBehavior Full()
  {
    ServerBehavior behavior;
    behavior.backlog = 0;
    behavior.isAccepting = false;
    return behavior;
  }

  static constexpr int kFillers = 3;
  // The kernel repeats an unanswered request for a connection after 1 s.
  static constexpr std::chrono::milliseconds kRepetition{ 1'300 };

  ThreadedServer full{ Full() };
  std::vector<std::shared_ptr<Trial>> fillers;
};

constexpr int kTurnsToResponse = 12;

} // namespace

BOOST_AUTO_TEST_SUITE(Http)

BOOST_AUTO_TEST_SUITE(ClientEvidence)

BOOST_FIXTURE_TEST_SUITE(AnExchangeThatIsGivenUp, StagesFixture)

// Guards against a byte that follows the statement "nothing was sent", whatever
// the connection was doing.
BOOST_DATA_TEST_CASE(AtEachStageOfANewConnection,
                     boost::unit_test::data::make(kWaysToGiveUp) *
                       boost::unit_test::data::make({ 0, 2'000 }),
                     way,
                     blockedMicroseconds)
{
  for (int turns = 0; turns < kTurnsToResponse; ++turns) {
    const auto trial = Start(5, { true });
    RunTurns(turns, std::chrono::microseconds(blockedMicroseconds));
    GiveUpOn(*trial, way);
  }
  Check();
  BOOST_TEST(unsent > 0);
  BOOST_TEST(sent > 0);
}

// Guards against a byte that is sent on an idle connection and counted for no
// exchange, or for the one before.
BOOST_DATA_TEST_CASE(AtEachStageOnAnIdleConnection,
                     boost::unit_test::data::make(kWaysToGiveUp) *
                       boost::unit_test::data::make({ 0, 300 }),
                     way,
                     blockedMicroseconds)
{
  ServerBehavior responding;
  responding.respond = Always(kEmptyOk);
  server.SetBehavior(responding);
  for (int turns = 0; turns < kTurnsToResponse; ++turns) {
    const auto first = Start(5);
    BOOST_REQUIRE(WaitUntil([&] { return first->observer->IsOver(); }));
    const auto second = Start(5);
    BOOST_TEST(second->exchange->Connection().connectionNumber ==
               first->exchange->Connection().connectionNumber);
    RunTurns(turns, std::chrono::microseconds(blockedMicroseconds));
    GiveUpOn(*second, way);
  }
  Check();
  BOOST_TEST(unsent > 0);
}

// Guards against a byte that is sent after a cancel within an event.
BOOST_DATA_TEST_CASE(WithinAnEvent,
                     boost::unit_test::data::make({ 0, 1, 2, 3 }),
                     event)
{
  ServerBehavior responding;
  // A response to an incomplete request would end the exchange.
  responding.respond = Always(event == 1 ? "" : kTwoPieces);
  server.SetBehavior(responding);
  // An incomplete body that doesn't fit into the buffers becomes writable
  // again.
  const auto first =
    event == 1 ? Start(server, kLargeBody, {}, 1) : Start(server, 5);
  int events = 0;
  const auto giveUp = [&] {
    ++events;
    first->GiveUp();
    // A new exchange must not be taken for a part of the one that ends.
    Start(5)->GiveUp();
  };
  const std::array<std::function<void()>*, 4> callbacks{
    &first->observer->onSent,
    &first->observer->onWritable,
    &first->observer->onHead,
    nullptr
  };
  if (callbacks.at(event) != nullptr) {
    *callbacks.at(event) = giveUp;
  } else {
    first->observer->onBody = [&](ByteView) { giveUp(); };
  }
  BOOST_REQUIRE(WaitUntil([&] { return first->observer->IsOver(); }));
  Check();
  BOOST_TEST(events == 1);
  BOOST_TEST(sent == 1);
  BOOST_TEST(unsent == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AConnectionThatOpensLate, FullQueueFixture)

// Guards against a connection that the kernel opens, and writes to, after the
// client gave up.
BOOST_AUTO_TEST_CASE(AfterTheTimeLimit)
{
  const auto trial = Start(full, 5, { true, 50ms });
  BOOST_REQUIRE(WaitUntil([&] { return trial->observer->IsOver(); }));
  Check({ &full }, kRepetition);
  BOOST_TEST(trial->IsStatedUnsent());
}

// Guards against a connection that outlives its exchange.
BOOST_AUTO_TEST_CASE(AfterACancel)
{
  const auto trial = Start(full, 5, { true, 5'000ms });
  RunFor(20ms);
  trial->GiveUp();
  Check({ &full }, kRepetition);
  BOOST_TEST(trial->IsStatedUnsent());
}

// Guards against the time limit and the opening of a connection in one turn of
// the event loop.
BOOST_AUTO_TEST_CASE(InTheSameTurnAsTheTimeLimit)
{
  const auto late = Start(full, 5, { true, 1'100ms });
  full.AcceptAndReadAll();
  // The kernel opens the connection while the event loop is blocked.
  std::this_thread::sleep_for(kRepetition);
  const auto whileOpen = Start(server, 5, { true, 1ms });
  std::this_thread::sleep_for(5ms);
  Check({ &full, &server });
  BOOST_TEST(late->observer->events + whileOpen->observer->events > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ABodyThatIsSentInPart, EvidenceFixture)

// Guards against a statement that rests on whole requests, not on bytes.
BOOST_AUTO_TEST_CASE(IsStatedAsSentAfterACancel)
{
  ServerBehavior silent;
  silent.isReading = false;
  server.SetBehavior(silent);
  const auto trial = Start(kLargeBody);
  BOOST_REQUIRE(WaitUntil([&] { return trial->exchange->AnyByteSent(); }));
  RunFor(20ms);
  BOOST_TEST(trial->exchange->UnsentBytes() > 0U);
  trial->GiveUp();
  Check();
  BOOST_TEST(sent == 1);
  BOOST_TEST(server.ReceivedBytes() < kLargeBody);
}

// Guards against a write that fails after a part of the request was written.
BOOST_DATA_TEST_CASE(
  IsStatedAsSentAfterTheServerEndedIt,
  boost::unit_test::data::make({ ConnectionEnding::Reset,
                                 ConnectionEnding::Close }) *
    boost::unit_test::data::make({ 0, 100, 300, 1'000, 5'000, 20'000 }),
  ending,
  microseconds)
{
  ServerBehavior ends;
  ends.isReading = false;
  ends.ending = ending;
  ends.endsAfter = std::chrono::microseconds(microseconds);
  server.SetBehavior(ends);
  const auto trial = Start(kLargeBody);
  BOOST_REQUIRE(WaitUntil([&] { return trial->observer->IsOver(); }));
  Check();
  BOOST_TEST(trial->observer->failures == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AnIdleConnectionThatIsTakenAgain, EvidenceFixture)

// Guards against a count that misses bytes: Qt does not emit bytesWritten
// within a slot of it, and an observer may run an event loop.
BOOST_AUTO_TEST_CASE(WithinTheEventOfAWrite)
{
  ServerBehavior responding;
  responding.respond = Always(kEmptyOk);
  server.SetBehavior(responding);
  const auto first = Start();
  std::shared_ptr<Trial> second;
  first->observer->onSent = [&] {
    BOOST_REQUIRE(WaitUntil([&] { return first->observer->IsOver(); }));
    server.SetBehavior({});
    second = Start(5);
    BOOST_TEST(second->exchange->Connection().connectionNumber ==
               first->exchange->Connection().connectionNumber);
    BOOST_TEST(WaitUntil(
      [&] { return server.Count("POST " + second->target + " ") == 1; }));
    second->GiveUp();
  };
  BOOST_REQUIRE(WaitUntil([&] { return second != nullptr; }));
  Check();
  BOOST_TEST(!second->IsStatedUnsent());
}

// Guards against a request that is written to a connection while it ends.
BOOST_DATA_TEST_CASE(AndThatTheServerEndsMeanwhile,
                     boost::unit_test::data::make({ ConnectionEnding::Reset,
                                                    ConnectionEnding::Close }),
                     ending)
{
  ServerBehavior behavior;
  behavior.respond = Always(kEmptyOk);
  server.SetBehavior(behavior);
  constexpr int kMaxTurns = 4;
  for (int turns = 0; turns < kMaxTurns; ++turns) {
    const auto first = Start();
    BOOST_REQUIRE(WaitUntil([&] { return first->observer->IsOver(); }));
    const auto second = Start(5);
    RunTurns(turns, 0us);
    ServerBehavior ends = behavior;
    ends.ending = ending;
    server.SetBehavior(ends);
    std::this_thread::sleep_for(2ms);
    BOOST_REQUIRE(WaitUntil([&] { return second->observer->IsOver(); }));
    server.SetBehavior(behavior);
  }
  Check();
  BOOST_TEST(sent >= kMaxTurns);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
