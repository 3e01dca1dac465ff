#include "EventLoop.h"
#include "OwnerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

struct FakeClientHolder
{
  FakeHttpClient client;
};

// The test takes the part of the backend server.
struct OwnerFixture
  : FakeClientHolder
  , OwnerSetup
{
  OwnerFixture()
    : OwnerSetup(client, { "127.0.0.9", 9 })
  {
  }
};

HttpResponseHead
Response(int aStatus)
{
  HttpResponseHead head;
  head.status = aStatus;
  head.framing = BodyFraming::Length;
  return head;
}

// One of four backend servers was ejected, and the next request is a trial of
// it.
struct TrialFixture : OwnerFixture
{
  TrialFixture()
  {
    Configure(false, 503, 4);
    RunEventLoop();
    clock.Advance(kColdTime);
    constexpr int kMaxRequests = 200;
    for (int i = 0; i < kMaxRequests && !IsEjected(); ++i) {
      clock.Advance(std::chrono::milliseconds(10));
      Send("GET");
      const bool isFailing = client.Last().server.port == ejected.port;
      client.Last().Respond(Response(isFailing ? 500 : 200));
    }
    clock.Advance(kFirstEjection);
  }

  bool IsEjected() const
  {
    const std::vector<ServerReport> reports = service.Report();
    return !reports.empty() && reports.front().state == ServerState::Ejected;
  }

  static constexpr std::chrono::seconds kColdTime{ 11 };
  static constexpr std::chrono::seconds kFirstEjection{ 6 };
  static constexpr std::chrono::seconds kSecondEjection{ 11 };
  const Endpoint ejected{ "127.0.0.9", 9 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Owner, OwnerFixture)

// Guards against requests from outside the fleet.
BOOST_AUTO_TEST_CASE(RefusesAForgedRequest)
{
  authenticator.isAuthentic = false;
  const auto exchange = Send("GET");
  BOOST_TEST(exchange->response.status == 403);
  BOOST_TEST(client.exchanges.empty());
}

BOOST_AUTO_TEST_SUITE(Outcomes)

// Guards against "not-run" after a byte of the request was sent, and against
// "unknown" when none was.
BOOST_AUTO_TEST_CASE(DependOnWhetherAByteWasSent)
{
  const auto refused = Send("POST");
  client.Last().Fail(HttpFailureKind::Connect);
  BOOST_TEST(HasRefusal(*refused, "backend-unreachable", "not-run"));

  const auto lost = Send("POST");
  client.Last().anyByteSent = true;
  client.Last().Fail(HttpFailureKind::Closed);
  BOOST_TEST(HasRefusal(*lost, "backend-connection-lost", "unknown"));
}

// Guards against a shed that is reported as an error of the request. The owner
// keeps no copy of a body that it forwarded, so the entry host has to send it
// again.
BOOST_AUTO_TEST_CASE(OfAShedRequestWithABodyIsNotRun)
{
  const auto exchange = Send("POST", "1000", BodyFraming::Length);
  client.Last().Respond(Response(503));
  BOOST_TEST(HasRefusal(*exchange, "backend-shed", "not-run"));
}

// Guards against a burst of sheds that reaches callers, and against a late
// event of the shed exchange that ends the requeued request.
BOOST_AUTO_TEST_CASE(OfAShedRequestWithoutABodyIsThatOfItsRetry)
{
  const auto exchange = Send("GET");
  const auto shed = client.exchanges[0];
  shed->Respond(Response(503));
  shed->Fail(HttpFailureKind::Cancelled);
  RunEventLoop();
  BOOST_TEST(client.exchanges.size() == 1U);
  clock.Advance(std::chrono::milliseconds(10));
  RunEventLoop();
  BOOST_REQUIRE(client.exchanges.size() == 2U);
  client.Last().Respond(Response(200));
  BOOST_TEST(exchange->response.status == 200);
}

// Guards against a 503 that is treated as a shed although the service declares
// no shed status.
BOOST_AUTO_TEST_CASE(OfAnUndeclaredShedStatusIsRan)
{
  Configure(false, std::nullopt);
  const auto exchange = Send("POST");
  client.Last().Respond(Response(503));
  BOOST_TEST(exchange->response.status == 503);
  BOOST_TEST(!exchange->response.fields.Find(kRefusalField).has_value());
  BOOST_TEST(exchange->response.fields.Find(kOutcomeField).value() == "ran");
}

// Guards against a backend server that sets relay fields reserved for owners.
BOOST_AUTO_TEST_CASE(CannotBeForgedByABackendServer)
{
  const auto exchange = Send("POST");
  HttpResponseHead head = Response(200);
  head.fields.Set(kRefusalField, "moved");
  head.fields.Set(kOutcomeField, "not-run");
  client.Last().Respond(head);
  BOOST_TEST(!exchange->response.fields.Find(kRefusalField).has_value());
  BOOST_TEST(exchange->response.fields.Find(kOutcomeField).value() == "ran");
}

// Guards against a process that sends expired requests after it was suspended.
BOOST_AUTO_TEST_CASE(OfARequestWhoseDeadlinePassedInTheQueueIsNotRun)
{
  Send("GET");
  Send("GET");
  const auto queued = Send("POST", "100");
  BOOST_TEST(client.exchanges.size() == 2U);
  clock.Advance(std::chrono::seconds(5));
  client.exchanges[0]->Respond(Response(200));
  RunEventLoop();
  BOOST_TEST(client.exchanges.size() == 2U);
  BOOST_TEST(queued->response.fields.Find(kOutcomeField).value_or("") ==
             "not-run");
}

// Guards against a truncated response that ends as if it were complete.
BOOST_AUTO_TEST_CASE(OfATruncatedResponseIsAnAbort)
{
  const auto exchange = Send("GET");
  client.Last().anyByteSent = true;
  client.Last().observer->OnResponseHead(Response(200));
  client.Last().Fail(HttpFailureKind::Closed);
  BOOST_TEST(exchange->isAborted);
  BOOST_TEST(!exchange->isFinished);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ATrial, TrialFixture)

// Guards against a request that ends with the failure of an earlier attempt,
// which the client had already queued when the attempt was given up.
BOOST_AUTO_TEST_CASE(ThatWasGivenUpSaysNothingAboutTheNextAttempt)
{
  const auto exchange = Send("GET");
  const auto trial = client.exchanges.back();
  BOOST_REQUIRE(trial->server.port == ejected.port);
  BOOST_REQUIRE(WaitUntil([&] { return trial->isCancelled; }));
  trial->Fail(HttpFailureKind::Closed);
  RunEventLoop();
  BOOST_TEST(exchange->heads == 0);
  BOOST_REQUIRE(client.exchanges.back() != trial);
  trial->observer->OnResponseHead(Response(500));
  client.Last().Respond(Response(200));
  BOOST_TEST(exchange->response.status == 200);
}

// Guards against "not-run" of the last attempt although the trial may have run,
// and against "unknown" although no byte of either was sent.
BOOST_AUTO_TEST_CASE(CountsForTheOutcomeIfItWasSent)
{
  for (const bool isSent : { true, false }) {
    const auto exchange = Send("GET");
    BOOST_REQUIRE(client.Last().server.port == ejected.port);
    client.Last().anyByteSent = isSent;
    client.Last().Fail(HttpFailureKind::Closed);
    RunEventLoop();
    BOOST_REQUIRE(client.Last().server.port != ejected.port);
    client.Last().Fail(HttpFailureKind::Connect);
    BOOST_TEST(HasRefusal(
      *exchange, "backend-unreachable", isSent ? "unknown" : "not-run"));
    clock.Advance(kSecondEjection);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfARequestOfWhichTheRestIsNotRead)

const RequestFailure kTooSlow{ 408, 504, "too slow" };

// Guards against the promise "not run" for a body of which the backend server
// has a part.
BOOST_AUTO_TEST_CASE(IsUnknownAfterAByteWasSent)
{
  const auto exchange = Send("POST", "1000", BodyFraming::Length);
  client.Last().anyByteSent = true;
  observer->OnRequestFailed(kTooSlow);
  BOOST_TEST(exchange->response.status == 504);
  BOOST_TEST(HasRefusal(*exchange, "incomplete-body", "unknown"));
  BOOST_TEST(client.Last().isCancelled);
  client.Last().Fail(HttpFailureKind::Cancelled);
  BOOST_TEST(exchange->heads == 1);
}

// Guards against evidence that is read while bytes can still be sent.
BOOST_AUTO_TEST_CASE(IsUnknownIfAByteIsSentAtTheLastMoment)
{
  const auto exchange = Send("POST", "1000", BodyFraming::Length);
  FakeClientExchange& sent = client.Last();
  sent.onCancel = [&sent] { sent.anyByteSent = true; };
  observer->OnRequestFailed(kTooSlow);
  BOOST_TEST(exchange->response.status == 504);
  BOOST_TEST(HasRefusal(*exchange, "incomplete-body", "unknown"));
}

// Guards against a slot that is not freed, and against an uncertain outcome
// while the backend server cannot be reached.
BOOST_AUTO_TEST_CASE(IsNotRunIfNoByteWasSent)
{
  Send("GET");
  const auto exchange = Send("POST", "1000", BodyFraming::Length);
  BOOST_TEST_REQUIRE(client.exchanges.size() == 2U);
  observer->OnRequestFailed(kTooSlow);
  BOOST_TEST(exchange->response.status == 408);
  BOOST_TEST(HasRefusal(*exchange, "incomplete-body", "not-run"));
  BOOST_TEST(client.Last().isCancelled);
  Send("GET");
  BOOST_TEST(client.exchanges.size() == 3U);
}

// Guards against a request that is assigned a backend server after its refusal.
BOOST_AUTO_TEST_CASE(IsNotRunInTheQueue)
{
  Send("GET");
  Send("GET");
  const auto queued = Send("POST", "1000", BodyFraming::Length);
  observer->OnRequestFailed(kTooSlow);
  BOOST_TEST(HasRefusal(*queued, "incomplete-body", "not-run"));
  client.exchanges[0]->Respond(Response(200));
  RunEventLoop();
  BOOST_TEST(client.exchanges.size() == 2U);
  BOOST_TEST(queued->heads == 1);
}

// Guards against a second response within the one that has begun.
BOOST_AUTO_TEST_CASE(IsAnAbortIfItsResponseHasBegun)
{
  const auto exchange = Send("POST", "1000", BodyFraming::Length);
  client.Last().anyByteSent = true;
  client.Last().observer->OnResponseHead(Response(200));
  observer->OnRequestFailed(kTooSlow);
  BOOST_TEST(exchange->isAborted);
  BOOST_TEST(exchange->heads == 1);
  BOOST_TEST(client.Last().isCancelled);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Sending)

// Guards against reusing an idle connection, which the server may have closed,
// for a request that must not run twice.
BOOST_AUTO_TEST_CASE(ANonIdempotentRequestUsesANewConnection)
{
  Send("POST");
  BOOST_TEST(client.Last().options.freshConnection);
  Send("GET");
  BOOST_TEST(!client.Last().options.freshConnection);
}

// Guards against more concurrent requests on a backend server than it has
// slots.
BOOST_AUTO_TEST_CASE(NeverExceedsTheSlots)
{
  for (int i = 0; i < 5; ++i) {
    Send("GET");
  }
  BOOST_TEST(client.exchanges.size() == 2U);
  client.exchanges[0]->Respond(Response(200));
  RunEventLoop();
  BOOST_TEST(client.exchanges.size() == 3U);
}

// Guards against sending a request whose caller has disconnected.
BOOST_AUTO_TEST_CASE(DropsAQueuedRequestWhoseCallerLeft)
{
  Send("GET");
  Send("GET");
  Send("POST");
  observer->OnRequestClosed(false);
  client.exchanges[0]->Respond(Response(200));
  RunEventLoop();
  BOOST_TEST(client.exchanges.size() == 2U);
}

// Guards against a slot that is not freed after its caller has disconnected.
BOOST_AUTO_TEST_CASE(CancelsARunningRequestAndFreesItsSlot)
{
  Send("GET");
  Send("GET");
  observer->OnRequestClosed(false);
  BOOST_TEST(client.Last().isCancelled);
  Send("GET");
  BOOST_TEST(client.exchanges.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Leaving)

// Guards against new requests for a leaving backend server.
BOOST_AUTO_TEST_CASE(ABackendServerMarkedByOperatorsGetsNoNewWork)
{
  Send("GET");
  Configure(true);
  const auto exchange = Send("GET");
  BOOST_TEST(client.exchanges.size() == 1U);
  clock.Advance(std::chrono::seconds(2));
  RunEventLoop();
  BOOST_TEST(!exchange->response.fields.Find(kBackendServerField).has_value());
}

BOOST_AUTO_TEST_CASE(ABackendServerMarkedByTheHostListGetsNoNewWork)
{
  service.SetLeavingAddresses({ "127.0.0.9" });
  Send("GET");
  BOOST_TEST(client.exchanges.empty());
  service.SetLeavingAddresses({});
  RunEventLoop();
  Send("GET");
  BOOST_TEST(!client.exchanges.empty());
}

// Guards against a leaving host that accepts requests indefinitely, and against
// one that refuses them before entry hosts can be aware that it is leaving.
BOOST_AUTO_TEST_CASE(AHostAcceptsRequestsUntilTheGracePeriodEnds)
{
  service.BeginLeaving();
  Send("GET");
  BOOST_TEST(client.exchanges.size() == 1U);
  clock.Advance(std::chrono::seconds(3));
  const auto exchange = Send("GET");
  BOOST_TEST(HasRefusal(*exchange, "moved", "not-run"));
  client.exchanges[0]->Respond(Response(200));
  BOOST_TEST(client.exchanges.size() == 1U);
}

// Guards against a shard with two owners for longer than membership views can
// differ.
BOOST_AUTO_TEST_CASE(RequestsForAMovedShardAreRefusedAfterTheGracePeriod)
{
  Send("GET");
  SetOwner(false);
  Send("GET");
  BOOST_TEST(client.exchanges.size() == 2U);
  clock.Advance(std::chrono::seconds(3));
  const auto exchange = Send("GET");
  BOOST_TEST(HasRefusal(*exchange, "moved", "not-run"));
  SetOwner(true);
  client.exchanges[0]->Respond(Response(200));
  Send("GET");
  BOOST_TEST(client.exchanges.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
