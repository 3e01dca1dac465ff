#include "base/ManualClock.h"
#include "relay/RelayFields.h"
#include "relay/RelaySigner.h"
#include "relay/RelayVerifier.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>

using namespace filbertbeam;

namespace {

const RelayIdentity kEntry{ "entry-1", 0x1111 };
const RelayIdentity kOwner{ "owner-1", 0x2222 };
constexpr std::string_view kSecret = "fleet secret";

HttpRequestHead
SampleHead()
{
  HttpRequestHead head;
  head.method = "POST";
  head.target = "/permits?id=1";
  head.framing = BodyFraming::Length;
  head.contentLength = 12;
  head.fields.Add("Host", "owner-1");
  head.fields.Add(kShardField, "permits/piarco/0");
  head.fields.Add(kCustomerField, "acme");
  return head;
}

struct SignatureFixture
{
  HttpRequestHead SignedHead()
  {
    HttpRequestHead head = SampleHead();
    signer.Sign(head, kOwner);
    return head;
  }

  // Returns a head with aNumber that is signed with the right secret.
  HttpRequestHead NumberedHead(const RelayIdentity& aEntry,
                               std::uint64_t aNumber)
  {
    HttpRequestHead head = SampleHead();
    RelaySignature signature{ aEntry, kOwner, aNumber, 0, "" };
    signature.wallTime = std::chrono::duration_cast<std::chrono::milliseconds>(
                           clock.WallNow().time_since_epoch())
                           .count();
    signature.mac = ComputeRelayMac(kSecret, signature, head);
    head.fields.Set(kSignatureField, FormatRelaySignature(signature));
    return head;
  }

  ManualClock clock;
  RelaySigner signer{ std::string(kSecret), kEntry, clock };
  RelayVerifier verifier{ std::string(kSecret), kOwner, clock };
};

struct Forgery
{
  const char* name;
  std::function<void(HttpRequestHead&)> change;
};

std::ostream&
operator<<(std::ostream& aStream, const Forgery& aForgery)
{
  return aStream << aForgery.name;
}

void
ChangeSignaturePart(HttpRequestHead& aHead,
                    const std::function<void(RelaySignature&)>& aChange)
{
  auto signature = ParseRelaySignature(*aHead.fields.Find(kSignatureField));
  BOOST_REQUIRE(signature);
  aChange(*signature);
  aHead.fields.Set(kSignatureField, FormatRelaySignature(*signature));
}

const std::vector<Forgery> kForgeries{
  { "method", [](HttpRequestHead& aHead) { aHead.method = "GET"; } },
  { "target", [](HttpRequestHead& aHead) { aHead.target = "/permits?id=2"; } },
  { "body length", [](HttpRequestHead& aHead) { aHead.contentLength = 13; } },
  { "chunked body",
    [](HttpRequestHead& aHead) { aHead.framing = BodyFraming::Chunked; } },
  { "changed relay field",
    [](HttpRequestHead& aHead) { aHead.fields.Set(kCustomerField, "other"); } },
  { "added relay field",
    [](HttpRequestHead& aHead) {
      aHead.fields.Add("filbertbeam-promise", "1e9");
    } },
  { "second relay field",
    [](HttpRequestHead& aHead) { aHead.fields.Add(kCustomerField, "other"); } },
  { "removed relay field",
    [](HttpRequestHead& aHead) { aHead.fields.Remove(kShardField); } },
  { "removed signature",
    [](HttpRequestHead& aHead) { aHead.fields.Remove(kSignatureField); } },
  { "second signature",
    [](HttpRequestHead& aHead) {
      aHead.fields.Add(kSignatureField,
                       std::string(*aHead.fields.Find(kSignatureField)));
    } },
  { "empty signature",
    [](HttpRequestHead& aHead) { aHead.fields.Set(kSignatureField, ""); } },
  { "text after the signature",
    [](HttpRequestHead& aHead) {
      aHead.fields.Set(kSignatureField,
                       std::string(*aHead.fields.Find(kSignatureField)) + ";");
    } },
  { "number",
    [](HttpRequestHead& aHead) {
      ChangeSignaturePart(aHead, [](auto& aPart) { aPart.number = 77; });
    } },
  { "time",
    [](HttpRequestHead& aHead) {
      ChangeSignaturePart(aHead, [](auto& aPart) { aPart.wallTime += 1; });
    } },
  { "entry host",
    [](HttpRequestHead& aHead) {
      ChangeSignaturePart(aHead, [](auto& aPart) { aPart.entry.host = "e"; });
    } },
  { "entry incarnation",
    [](HttpRequestHead& aHead) {
      ChangeSignaturePart(aHead,
                          [](auto& aPart) { aPart.entry.incarnation = 5; });
    } },
  { "mac",
    [](HttpRequestHead& aHead) {
      ChangeSignaturePart(aHead, [](auto& aPart) {
        aPart.mac[0] = aPart.mac[0] == '0' ? '1' : '0';
      });
    } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(Relay)

BOOST_FIXTURE_TEST_SUITE(Signatures, SignatureFixture)

BOOST_AUTO_TEST_CASE(AnOwnerAcceptsASignedHead)
{
  BOOST_TEST(verifier.Verify(SignedHead()), verifier.LastReason());
  BOOST_TEST(verifier.Verify(SignedHead()), verifier.LastReason());
}

// Guards against refusing a head that was only reframed in transit: a POST
// without a body is sent with Content-Length: 0.
BOOST_AUTO_TEST_CASE(AnAbsentBodyAndAnEmptyOneAreTheSame)
{
  HttpRequestHead head = SampleHead();
  head.framing = BodyFraming::None;
  signer.Sign(head, kOwner);
  head.framing = BodyFraming::Length;
  head.contentLength = 0;
  BOOST_TEST(verifier.Verify(head), verifier.LastReason());
}

// Guards against a signature that does not cover every part that it should.
BOOST_DATA_TEST_CASE(AChangedHeadIsRefused,
                     boost::unit_test::data::make(kForgeries),
                     forgery)
{
  HttpRequestHead head = SignedHead();
  forgery.change(head);
  BOOST_TEST(!verifier.Verify(head));
  BOOST_TEST(verifier.IncarnationCount() == 0U);
}

// Guards against ambiguous boundaries between the signed parts: moving a
// character from one value to the next must change the signature.
BOOST_AUTO_TEST_CASE(BytesCannotMoveBetweenParts)
{
  const RelaySignature signature{ kEntry, kOwner, 1, 1, "" };
  HttpRequestHead one = SampleHead();
  one.method = "POST";
  one.target = "/1";
  HttpRequestHead other = one;
  other.method = "POS";
  other.target = "T/1";
  BOOST_TEST(ComputeRelayMac(kSecret, signature, one) !=
             ComputeRelayMac(kSecret, signature, other));
}

BOOST_AUTO_TEST_CASE(AnotherSecretIsRefused)
{
  RelaySigner otherSigner("another secret", kEntry, clock);
  HttpRequestHead head = SampleHead();
  otherSigner.Sign(head, kOwner);
  BOOST_TEST(!verifier.Verify(head));
}

// Guards against replaying a recorded head to another host, or to the same host
// after a restart, when its record of request numbers is lost.
BOOST_AUTO_TEST_CASE(AnotherOwnerOrIncarnationIsRefused)
{
  const HttpRequestHead head = SignedHead();
  RelayVerifier otherHost(std::string(kSecret), { "owner-2", 0x2222 }, clock);
  RelayVerifier restarted(std::string(kSecret), { "owner-1", 0x3333 }, clock);
  BOOST_TEST(!otherHost.Verify(head));
  BOOST_TEST(!restarted.Verify(head));
  BOOST_TEST(verifier.Verify(head), verifier.LastReason());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Replays, SignatureFixture)

// Guards against a request that runs twice because its head is replayed.
BOOST_AUTO_TEST_CASE(AHeadIsAcceptedOnce)
{
  const HttpRequestHead head = SignedHead();
  BOOST_TEST(verifier.Verify(head));
  BOOST_TEST(!verifier.Verify(head));
  clock.Advance(std::chrono::hours(1));
  BOOST_TEST(!verifier.Verify(head));
}

// Guards against refusing requests that arrive out of order over different
// connections.
BOOST_AUTO_TEST_CASE(NumbersMayArriveOutOfOrderWithinTheWindow)
{
  constexpr std::uint64_t kLast = 10'000;
  BOOST_TEST(verifier.Verify(NumberedHead(kEntry, kLast)));
  const std::uint64_t oldest = kLast - ReplayWindow::kSize + 1;
  BOOST_TEST(verifier.Verify(NumberedHead(kEntry, oldest)));
  BOOST_TEST(!verifier.Verify(NumberedHead(kEntry, oldest)));
  BOOST_TEST(!verifier.Verify(NumberedHead(kEntry, oldest - 1)));
  BOOST_TEST(verifier.Verify(NumberedHead(kEntry, kLast - 1)));
  BOOST_TEST(!verifier.Verify(NumberedHead(kEntry, kLast)));
}

// Guards against bits of old numbers that stay set when the window advances.
BOOST_AUTO_TEST_CASE(EveryNumberIsAcceptedOnceWhileTheWindowMoves)
{
  ReplayWindow window;
  for (std::uint64_t number = 0; number < 3 * ReplayWindow::kSize; ++number) {
    BOOST_REQUIRE(window.Insert(number));
    BOOST_REQUIRE(!window.Insert(number));
  }
  BOOST_TEST(window.Insert(100 * ReplayWindow::kSize));
  BOOST_TEST(window.Insert(99 * ReplayWindow::kSize + 1));
  BOOST_TEST(!window.Insert(99 * ReplayWindow::kSize));
  BOOST_TEST(window.Insert(std::numeric_limits<std::uint64_t>::max()));
  BOOST_TEST(!window.Insert(0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(UnknownIncarnations, SignatureFixture)

// Guards against replaying an old head to an owner that has never received one
// from the entry host, or has discarded its record of it.
BOOST_AUTO_TEST_CASE(ATimeMoreThanThirtySecondsOffIsRefused)
{
  const HttpRequestHead early = SignedHead();
  clock.Advance(std::chrono::seconds(30));
  const HttpRequestHead late = SignedHead();
  RelayVerifier exact(std::string(kSecret), kOwner, clock);
  BOOST_TEST(exact.Verify(early), exact.LastReason());
  clock.Advance(std::chrono::milliseconds(1));
  BOOST_TEST(!verifier.Verify(early));
  BOOST_TEST(verifier.Verify(late), verifier.LastReason());

  // A head from a clock that is ahead is refused as well.
  ManualClock behind;
  RelayVerifier slow(std::string(kSecret), kOwner, behind);
  BOOST_TEST(!slow.Verify(SignedHead()));
}

// Guards against refusing a known host whose clock was adjusted.
BOOST_AUTO_TEST_CASE(TheTimeOfAKnownIncarnationIsNotChecked)
{
  BOOST_TEST(verifier.Verify(SignedHead()));
  const HttpRequestHead delayed = SignedHead();
  clock.Advance(std::chrono::hours(1));
  BOOST_TEST(verifier.Verify(delayed), verifier.LastReason());
}

// Guards against memory that grows with every restart in the fleet, and against
// a replay that succeeds because its sender was discarded.
BOOST_AUTO_TEST_CASE(TheNumberOfIncarnationsIsBounded)
{
  const HttpRequestHead first = NumberedHead({ "entry", 0 }, 1);
  BOOST_TEST(verifier.Verify(first));
  for (std::uint64_t i = 1; i < RelayVerifier::kMaxIncarnations; ++i) {
    BOOST_REQUIRE(verifier.Verify(NumberedHead({ "entry", i }, 1)));
  }
  BOOST_TEST(!verifier.Verify(NumberedHead({ "late", 1 }, 1)));
  BOOST_TEST(!verifier.Verify(first));

  clock.Advance(2 * RelayVerifier::kMaxTimeDifference +
                std::chrono::milliseconds(1));
  BOOST_TEST(verifier.Verify(NumberedHead({ "late", 1 }, 1)),
             verifier.LastReason());
  BOOST_TEST(verifier.IncarnationCount() <= RelayVerifier::kMaxIncarnations);
  BOOST_TEST(!verifier.Verify(first));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
