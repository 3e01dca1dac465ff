#include "EntryFixture.h"
#include "EventLoop.h"
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

} // namespace

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
