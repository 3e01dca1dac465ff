#include "base/ManualClock.h"
#include "membership/ReplayFilter.h"
#include "membership/SealedMessage.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

const Endpoint kReceiver{ "10.0.0.1", 9000 };

SealedMessage
MessageOf(std::uint64_t aSequence)
{
  SealedMessage message;
  message.sender = { "host-1", 42 };
  message.sequence = aSequence;
  message.wallTime = 5s;
  message.uptime = 3s;
  message.type = ControlMessageType::DemandReport;
  message.payload = "payload";
  return message;
}

// Passes messages of one sender, which has clocks of its own, to a filter.
class FilterFixture
{
public:
  ReplayFilter::Verdict Receive(std::uint64_t aSequence,
                                Duration aDelay = Duration::zero(),
                                std::uint64_t aIncarnation = 1)
  {
    SealedMessage message;
    message.sender = { "sender", aIncarnation };
    message.sequence = aSequence;
    const auto toMilliseconds = [](Duration aTime) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(aTime);
    };
    message.wallTime =
      toMilliseconds(clock.WallNow().time_since_epoch() - aDelay + wallError);
    message.uptime =
      toMilliseconds(clock.Now().time_since_epoch() - aDelay + monotonicError);
    return filter.Check(message, clock.Now(), clock.WallNow());
  }

  ManualClock clock;
  ReplayFilter filter;
  Duration wallError{ 0 };
  Duration monotonicError{ 0 };
};

using Verdict = ReplayFilter::Verdict;

} // namespace

BOOST_AUTO_TEST_SUITE(SealedMessages)

BOOST_AUTO_TEST_CASE(OpenAsTheyWereSealed)
{
  const SealedMessageCodec codec("secret");
  const SealedMessage message = MessageOf(7);
  const std::string sealed = codec.Seal(message, kReceiver);
  const auto opened = codec.Open(sealed, kReceiver);
  BOOST_TEST_REQUIRE(opened.has_value());
  BOOST_TEST(opened->sender.host == message.sender.host);
  BOOST_TEST(opened->sender.incarnation == message.sender.incarnation);
  BOOST_TEST(opened->sequence == message.sequence);
  BOOST_TEST((opened->wallTime == message.wallTime));
  BOOST_TEST((opened->uptime == message.uptime));
  BOOST_TEST((opened->type == message.type));
  BOOST_TEST(opened->payload == message.payload);
}

// Guards against heartbeats that exceed their byte budget because of the bytes
// that sealing adds.
BOOST_AUTO_TEST_CASE(OverheadHasTheStatedBound)
{
  const SealedMessageCodec codec("secret");
  SealedMessage message = MessageOf(~0ULL);
  message.sender.incarnation = ~0ULL;
  message.wallTime = 100'000h;
  message.uptime = 100'000h;
  for (const std::size_t size : { 0U, 100U, 1200U, 60U * 1024U }) {
    message.payload.assign(size, 'x');
    BOOST_TEST(codec.Seal(message, kReceiver).size() <=
               size + message.sender.host.size() + kMaxSealedOverhead);
  }
}

// Guards against messages that were forged, altered or sealed for another host.
BOOST_AUTO_TEST_CASE(DoNotOpenWhereAnythingDiffers)
{
  const SealedMessageCodec codec("secret");
  const std::string sealed = codec.Seal(MessageOf(7), kReceiver);
  BOOST_TEST(!SealedMessageCodec("other").Open(sealed, kReceiver));
  BOOST_TEST(!codec.Open(sealed, { "10.0.0.2", 9000 }));
  BOOST_TEST(!codec.Open(sealed, { "10.0.0.1", 9001 }));
  BOOST_TEST(!codec.Open(sealed + "x", kReceiver));
  BOOST_TEST(!codec.Open({}, kReceiver));
  for (std::size_t i = 0; i < sealed.size(); ++i) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string altered = sealed;
      altered[i] = static_cast<char>(altered[i] ^ (1 << bit));
      BOOST_TEST(!codec.Open(altered, kReceiver).has_value());
    }
    BOOST_TEST(!codec.Open(sealed.substr(0, i), kReceiver).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Replays)

// Guards against a message that takes effect twice.
BOOST_FIXTURE_TEST_CASE(NoSequenceIsAcceptedTwice, FilterFixture)
{
  for (std::uint64_t sequence = 1; sequence <= 200; ++sequence) {
    BOOST_TEST((Receive(sequence) == Verdict::Accepted));
    BOOST_TEST((Receive(sequence) == Verdict::Replayed));
  }
  for (std::uint64_t sequence = 0; sequence <= 200; ++sequence) {
    BOOST_TEST((Receive(sequence) == Verdict::Replayed));
  }
}

// Guards against refusing messages that arrive out of order.
BOOST_FIXTURE_TEST_CASE(ALateSequenceWithinTheWindowIsAcceptedOnce,
                        FilterFixture)
{
  BOOST_TEST((Receive(100) == Verdict::Accepted));
  BOOST_TEST((Receive(37) == Verdict::Accepted));
  BOOST_TEST((Receive(36) == Verdict::Replayed));
  BOOST_TEST((Receive(37) == Verdict::Replayed));
  BOOST_TEST((Receive(99) == Verdict::Accepted));
  BOOST_TEST((Receive(1000) == Verdict::Accepted));
  BOOST_TEST((Receive(98) == Verdict::Replayed));
}

// Guards against replays to a restarted host, which has no sequence numbers of
// its peers.
BOOST_FIXTURE_TEST_CASE(AnUnknownIncarnationHasToBeCurrent, FilterFixture)
{
  struct Case
  {
    Duration wallError;
    Verdict verdict;
  };
  const Case cases[] = { { -31s, Verdict::Outdated },
                         { -29s, Verdict::Accepted },
                         { 29s, Verdict::Accepted },
                         { 31s, Verdict::Outdated } };
  std::uint64_t incarnation = 1;
  for (const Case& each : cases) {
    wallError = each.wallError;
    BOOST_TEST((Receive(1, 0s, incarnation++) == each.verdict));
  }
}

// Guards against memory that grows with the incarnations of 950 restarts a day,
// and against removing an incarnation while its messages can still be replayed.
BOOST_FIXTURE_TEST_CASE(TheNumberOfSendersIsBounded, FilterFixture)
{
  for (std::uint64_t i = 0; i < ReplayFilter::kMaxSenders; ++i) {
    BOOST_TEST_REQUIRE((Receive(1, 0s, i) == Verdict::Accepted));
  }
  BOOST_TEST((Receive(1, 0s, 1'000'000) == Verdict::TooManySenders));
  BOOST_TEST((Receive(1, 0s, 5) == Verdict::Replayed));
  clock.Advance(ReplayFilter::kMinRetention);
  BOOST_TEST((Receive(1, 0s, 1'000'000) == Verdict::Accepted));
  BOOST_TEST(filter.SenderCount() == 1U);
  BOOST_TEST((Receive(1, ReplayFilter::kMinRetention, 5) == Verdict::Outdated));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Delays)

// Guards against messages that sockets, such as PUSH or TCP ones, queue for a
// host that is paused or cut off: a share that is delivered a minute later
// would be used twice.
BOOST_FIXTURE_TEST_CASE(DelayedMessagesAreRefused, FilterFixture)
{
  BOOST_TEST((Receive(1) == Verdict::Accepted));
  clock.Advance(60s);
  std::uint64_t sequence = 2;
  for (Duration delay = 60s; delay > 1100ms; delay -= 500ms) {
    BOOST_TEST((Receive(sequence++, delay) == Verdict::Delayed));
  }
  BOOST_TEST((Receive(sequence++, 900ms) == Verdict::Accepted));
  BOOST_TEST((Receive(sequence++) == Verdict::Accepted));
}

// Guards against refusing a host whose wall time is wrong or is corrected.
BOOST_FIXTURE_TEST_CASE(AStepOfTheWallTimeChangesNothing, FilterFixture)
{
  wallError = 20s;
  BOOST_TEST((Receive(1) == Verdict::Accepted));
  for (const Duration error : { Duration(-3600s), Duration(7200s) }) {
    wallError = error;
    clock.Advance(1s);
    BOOST_TEST((Receive(static_cast<std::uint64_t>(
                  clock.Now().time_since_epoch() / 1s)) == Verdict::Accepted));
  }
}

// Guards against refusing a host because its clock drifts over months.
BOOST_FIXTURE_TEST_CASE(DriftWithinTheLimitsOfNtpIsNoDelay, FilterFixture)
{
  for (std::uint64_t hour = 1; hour <= 24 * 30; ++hour) {
    BOOST_TEST_REQUIRE((Receive(hour) == Verdict::Accepted));
    clock.Advance(1h);
    // The sender's clock is slow by 900 ppm.
    monotonicError -= 3240ms;
  }
}

// Guards against permanently refusing a host whose monotonic clock stopped for
// a while.
BOOST_FIXTURE_TEST_CASE(ASenderThatWasSuspendedIsAcceptedAgain, FilterFixture)
{
  BOOST_TEST((Receive(1) == Verdict::Accepted));
  clock.Advance(100s);
  monotonicError = -100s;
  std::uint64_t sequence = 2;
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST((Receive(sequence++) == Verdict::Delayed));
    clock.Advance(500ms);
  }
  BOOST_TEST((Receive(sequence++) == Verdict::Accepted));
  BOOST_TEST((Receive(sequence++, 2s) == Verdict::Delayed));
}

BOOST_AUTO_TEST_SUITE_END()
