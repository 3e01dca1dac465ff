#include "BadStatusLines.h"
#include "EntryFixture.h"
#include "EventLoop.h"
#include "RawPeers.h"
#include "RecordingApplication.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

HttpServerLimits
ImpatientLimits()
{
  HttpServerLimits limits;
  limits.bodyGrace = std::chrono::milliseconds(100);
  return limits;
}

struct OwnerHolder
{
  ServerFixture owner{ ImpatientLimits() };
  std::unique_ptr<HttpClient> ownerClient = HttpClient::Create({});
};

// An entry service with real connections to the HTTP server of an owner.
struct RelayFixture
  : OwnerHolder
  , EntryFixture
{
  RelayFixture()
    : EntryFixture(*ownerClient)
  {
    service.SetView(TwoHostView(owner.server->Port()));
  }
};

struct RawOwnerHolder
{
  RawServer owner;
  std::unique_ptr<HttpClient> ownerClient = HttpClient::Create({});
};

// An entry service whose owner sends the bytes that the test chooses.
struct RawOwnerFixture
  : RawOwnerHolder
  , EntryFixture
{
  RawOwnerFixture()
    : EntryFixture(*ownerClient)
  {
    service.SetView(TwoHostView(owner.Address().port));
  }

  // Sends a request of a caller, for which the owner sends aBytes.
  std::shared_ptr<FakeServerExchange> Ask(const HttpRequestHead& aHead,
                                          const std::string& aBytes)
  {
    owner.onReceived = [aBytes](RawConnection& aConnection) {
      aConnection.Send(aBytes);
    };
    for (const auto& connection : owner.connections) {
      connection->onReceived = owner.onReceived;
    }
    auto exchange = Send(aHead);
    BOOST_TEST(
      WaitUntil([&] { return exchange->isFinished || exchange->isAborted; }));
    return exchange;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnOwner, RawOwnerFixture)

// Guards against a status that the caller gets, or that is stored with its
// claim, although it does not exist.
BOOST_AUTO_TEST_CASE(WithAStatusThatDoesNotExistLeavesTheOutcomeUnknown)
{
  for (const std::string& line : BadStatusLines()) {
    BOOST_TEST_CONTEXT("line " << line)
    {
      HttpRequestHead head = Head("POST", "/permits");
      const std::string response = line + "\r\nFilbertbeam-Outcome: ran\r\n"
                                          "Content-Length: 4\r\n\r\nbody";
      BOOST_TEST(HasStatusAndOutcome(*Ask(head, response), 502, "unknown"));
      const int abandoned = claims.abandoned;
      head.fields.Set("Idempotency-Key", "permit-42");
      BOOST_TEST(HasStatusAndOutcome(*Ask(head, response), 502, "unknown"));
      BOOST_TEST(claims.abandoned == abandoned + 1);
      BOOST_TEST(!claims.completedStatus.has_value());
    }
  }
}

// Guards against a refusal that the caller takes for a response to its request.
BOOST_AUTO_TEST_CASE(ThatRefusesWithTheStatusOfASuccessLeavesTheOutcomeUnknown)
{
  for (const char* const status : { "200 OK", "204 None", "302 Found" }) {
    const auto exchange = Ask(Head("POST", "/permits"),
                              std::string("HTTP/1.1 ") + status +
                                "\r\nFilbertbeam-Refusal: queue-full\r\n"
                                "Filbertbeam-Outcome: not-run\r\n"
                                "Content-Length: 0\r\n\r\n");
    BOOST_TEST(HasStatusAndOutcome(*exchange, 502, "unknown"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ARelayConnection, RelayFixture)

// Guards against a 408 of the owner's HTTP server that a caller takes for a
// promise, and its claim for the response of a backend server, although a part
// of the body was passed on.
BOOST_AUTO_TEST_CASE(ThatStallsWithinABodyLeavesTheOutcomeUnknown)
{
  HttpRequestHead head = Head("POST", "/permits");
  head.fields.Set("Idempotency-Key", "permit-42");
  const std::string part(100 * 1024, 'x');
  head.framing = BodyFraming::Length;
  head.contentLength = 2 * part.size();
  auto exchange = std::make_shared<FakeServerExchange>(head);
  observer = service.OnRequest(exchange);
  observer->OnRequestBody(part);
  BOOST_TEST(WaitUntil([&] { return exchange->isFinished; }));
  BOOST_REQUIRE(owner.application.sessions.size() == 1U);
  BOOST_TEST(owner.application.sessions[0]->bodyBytes == part.size());
  BOOST_TEST(HasStatusAndOutcome(*exchange, 502, "unknown"));
  BOOST_TEST(!claims.completedStatus.has_value());
  BOOST_TEST(claims.abandoned == 1);
}

BOOST_AUTO_TEST_SUITE_END()
