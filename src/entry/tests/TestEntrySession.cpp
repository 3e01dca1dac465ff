#include "EntryFixture.h"
#include "EventLoop.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;

BOOST_FIXTURE_TEST_SUITE(CallerRequest, EntryFixture)

BOOST_AUTO_TEST_SUITE(Validation)

struct BadRequest
{
  const char* method;
  const char* target;
  const char* field;
  const char* value;
  int status;
  const char* reason;
};

const BadRequest kBadRequests[] = {
  { "GET", "/permits", "X-Api-Key", "wrong", 401, "unknown-customer" },
  { "GET", "/nowhere", "X-Api-Key", "key-1", 404, "unknown-route" },
  { "GET", "/permitsx", "X-Api-Key", "key-1", 404, "unknown-route" },
  { "GET", "/manuals", "X-Api-Key", "key-1", 403, "service-not-in-contract" },
  { "GET",
    "/permits/../manuals",
    "X-Api-Key",
    "key-1",
    400,
    "malformed-target" },
  { "GET", "/permits/%2E%2e/x", "X-Api-Key", "key-1", 400, "malformed-target" },
  { "GET", "/permits", "Request-Timeout-Ms", "soon", 400, "malformed-timeout" },
  { "GET", "/permits", "Request-Timeout-Ms", "0", 400, "malformed-timeout" },
  { "POST",
    "/permits",
    "Idempotency-Key",
    "",
    400,
    "malformed-idempotency-key" },
};

// Guards against invalid requests that reach an owner or are refused without
// the right status and reason.
BOOST_AUTO_TEST_CASE(RefusesAnInvalidRequestWithItsReason)
{
  for (const BadRequest& bad : kBadRequests) {
    BOOST_TEST_CONTEXT(bad.method << " " << bad.target << " " << bad.field)
    {
      HttpRequestHead head = Head(bad.method, bad.target);
      head.fields.Set(bad.field, bad.value);
      const auto exchange = Send(head);
      BOOST_TEST(HasStatusAndOutcome(*exchange, bad.status, "not-run"));
      BOOST_TEST(exchange->body.find(bad.reason) != std::string::npos);
      BOOST_TEST(client.exchanges.empty());
    }
  }
}

// Guards against a refund of a token that the request never took, which would
// let the customer exceed its contract.
BOOST_AUTO_TEST_CASE(ARefusalBeforeAdmissionRefundsNoToken)
{
  const auto configuration = TwoDomainConfiguration();
  const Contract& contract = configuration->Data().contracts[0];
  while (limiter->Classify(contract, clock.Now()) == RequestClass::InContract) {
  }
  Send(Head("GET", "/nowhere"));
  BOOST_TEST(
    (limiter->Classify(contract, clock.Now()) == RequestClass::Excess));
}

// Guards against forwarding the caller's API key and relay fields that the
// caller forged.
BOOST_AUTO_TEST_CASE(RemovesTheApiKeyAndForgedRelayFields)
{
  HttpRequestHead head = Head("GET", "/permits/7");
  head.fields.Set("Filbertbeam-Customer", "somebody-else");
  Send(head);
  const HttpFields& fields = client.Last().head.fields;
  BOOST_TEST(!fields.Find("X-Api-Key").has_value());
  BOOST_TEST(fields.Find(kCustomerField).value() == "inspector");
}

// Guards against accepting requests before the host has read its
// configuration.
BOOST_AUTO_TEST_CASE(RefusesRequestsWithoutAConfiguration)
{
  EntryService fresh(EntryContext{ client,
                                   claims,
                                   *limiter,
                                   *retryBudget,
                                   signer,
                                   serviceLevel,
                                   selector,
                                   activeRelays,
                                   metrics,
                                   events,
                                   clock,
                                   random });
  auto exchange = std::make_shared<FakeServerExchange>(Head("GET", "/permits"));
  const auto session = fresh.OnRequest(exchange);
  BOOST_TEST(HasStatusAndOutcome(*exchange, 503, "not-run"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RelayToOwner)

// Guards against a response that is changed on its way to the caller.
BOOST_AUTO_TEST_CASE(ForwardsTheWholeResponse)
{
  const auto exchange = Send(Head("GET", "/permits/7"));
  client.Last().Respond(Ok(5), "whole");
  BOOST_TEST(exchange->response.status == 200);
  BOOST_TEST(exchange->body == "whole");
  BOOST_TEST(exchange->isFinished);
  BOOST_TEST(!exchange->response.fields.Find(kOutcomeField).has_value());
}

// Guards against a truncated response that looks complete to the caller.
BOOST_AUTO_TEST_CASE(AbortsATruncatedResponse)
{
  const auto exchange = Send(Head("GET", "/permits/7"));
  auto& relay = client.Last();
  relay.anyByteSent = true;
  relay.observer->OnResponseHead(Ok(10));
  relay.observer->OnResponseBody(std::string_view("half"));
  relay.Fail(HttpFailureKind::Closed);
  BOOST_TEST(exchange->isAborted);
  BOOST_TEST(!exchange->isFinished);
  BOOST_TEST(client.exchanges.size() == 1U);
}

// Guards against mixing the late response to a cancelled attempt with the
// response to the second attempt.
BOOST_AUTO_TEST_CASE(DropsALateResponseOfAnEarlierAttempt)
{
  const auto exchange = Send(Head("GET", "/permits/7"));
  const auto first = client.exchanges[0];
  first->anyByteSent = true;
  first->observer->OnResponseHead(Refusal(503, "wait-exceeded", "not-run"));
  BOOST_REQUIRE(client.exchanges.size() == 2U);
  BOOST_TEST(first->isCancelled);
  first->observer->OnResponseHead(Ok(4));
  first->observer->OnResponseBody(std::string_view("late"));
  first->observer->OnResponseEnd();
  client.Last().Respond(Ok(5), "right");
  BOOST_TEST(exchange->body == "right");
  BOOST_TEST(exchange->heads == 1);
}

// Guards against buffering the whole response for a slow caller.
BOOST_AUTO_TEST_CASE(PausesTheOwnerForASlowCaller)
{
  const auto exchange = Send(Head("GET", "/permits/7"));
  auto& relay = client.Last();
  relay.observer->OnResponseHead(Ok(1'000'000));
  exchange->unsentBytes = 300 * 1024;
  relay.observer->OnResponseBody(std::string_view("block"));
  BOOST_TEST(relay.isPaused);
  observer->OnResponseWritable();
  BOOST_TEST(!relay.isPaused);
}

// Guards against buffering a large upload in memory or sending it twice.
BOOST_AUTO_TEST_CASE(StreamsALargeBodyOnce)
{
  HttpRequestHead head = Head("PUT", "/permits/7");
  const std::string block(100 * 1024, 'x');
  head.framing = BodyFraming::Length;
  head.contentLength = 2 * block.size();
  auto exchange = std::make_shared<FakeServerExchange>(head);
  observer = service.OnRequest(exchange);
  observer->OnRequestBody(block);
  BOOST_REQUIRE(client.exchanges.size() == 1U);
  observer->OnRequestBody(block);
  observer->OnRequestEnd();
  BOOST_TEST(client.Last().body.size() == 2 * block.size());
  BOOST_TEST(client.Last().isBodyFinished);
  client.Last().anyByteSent = true;
  client.Last().Fail(HttpFailureKind::Closed);
  BOOST_TEST(client.exchanges.size() == 1U);
  BOOST_TEST(HasStatusAndOutcome(*exchange, 502, "unknown"));
}

// Guards against continuing a request whose caller disconnected.
BOOST_AUTO_TEST_CASE(IsCancelledWhenTheCallerDisconnects)
{
  Send(Head("GET", "/permits/7"));
  observer->OnRequestClosed(false);
  BOOST_TEST(client.Last().isCancelled);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Retries)

struct RetryCase
{
  const char* method;
  bool anyByteSent;
  bool isRetried;
  const char* outcome;
};

const RetryCase kConnectionLost[] = {
  { "GET", true, true, "" },           { "GET", false, true, "" },
  { "POST", false, true, "" },         { "POST", true, false, "unknown" },
  { "PATCH", true, false, "unknown" }, { "UNKNOWN", true, false, "unknown" },
};

// Guards against retrying a non-idempotent request after a byte of it may have
// reached an owner, and against reporting "not-run" for it.
BOOST_AUTO_TEST_CASE(OnlyHappenWhenASecondRunIsImpossibleOrHarmless)
{
  for (const RetryCase& row : kConnectionLost) {
    BOOST_TEST_CONTEXT(row.method << " sent=" << row.anyByteSent)
    {
      client.exchanges.clear();
      clock.Advance(std::chrono::minutes(1));
      const auto exchange = Send(Head(row.method, "/permits/7"));
      client.Last().anyByteSent = row.anyByteSent;
      client.Last().Fail(row.anyByteSent ? HttpFailureKind::Closed
                                         : HttpFailureKind::Connect);
      BOOST_TEST((client.exchanges.size() == 2U) == row.isRetried);
      if (!row.isRetried) {
        BOOST_TEST(HasStatusAndOutcome(*exchange, 502, row.outcome));
      }
    }
  }
}

// Guards against retrying a GET request whose route declares GET as
// non-idempotent.
BOOST_AUTO_TEST_CASE(ExcludeMethodsThatTheRouteDeclaresNonIdempotent)
{
  const auto exchange = Send(Head("GET", "/once/7"));
  client.Last().anyByteSent = true;
  client.Last().Fail(HttpFailureKind::Closed);
  BOOST_TEST(client.exchanges.size() == 1U);
  BOOST_TEST(HasStatusAndOutcome(*exchange, 502, "unknown"));
}

// Guards against reporting "not-run" without the owner's confirmation.
BOOST_AUTO_TEST_CASE(KeepTheOutcomeThatTheOwnerReported)
{
  const auto exchange = Send(Head("POST", "/permits"), "{}");
  client.Last().Respond(Refusal(502, "backend-connection-lost", "unknown"));
  BOOST_TEST(HasStatusAndOutcome(*exchange, 502, "unknown"));

  clock.Advance(std::chrono::minutes(1));
  const auto second = Send(Head("POST", "/permits"), "{}");
  const std::size_t before = client.exchanges.size();
  client.Last().Respond(Refusal(504, "deadline-passed", "not-run"));
  BOOST_TEST(client.exchanges.size() == before);
  BOOST_TEST(HasStatusAndOutcome(*second, 504, "not-run"));
}

// Guards against treating a refusal without an outcome as "not-run".
BOOST_AUTO_TEST_CASE(TreatARefusalWithoutAnOutcomeAsUnknown)
{
  const auto exchange = Send(Head("POST", "/permits"), "{}");
  HttpResponseHead head = Refusal(503, "moved", "");
  head.fields.Remove(kOutcomeField);
  client.Last().Respond(head);
  BOOST_TEST(client.exchanges.size() == 1U);
  BOOST_TEST(HasStatusAndOutcome(*exchange, 503, "unknown"));
}

// Guards against passing on what no session of the owner has sent, such as the
// "not-run" of its HTTP server for a request of which a part was relayed.
BOOST_AUTO_TEST_CASE(TreatAResponseWithoutAnOutcomeAsUnknown)
{
  for (const int status : { 408, 421, 429, 503, 200 }) {
    const auto exchange = Send(Head("POST", "/permits"), "{}");
    HttpResponseHead head;
    head.status = status;
    client.Last().Respond(head, "{\"outcome\":\"not-run\"}");
    BOOST_TEST(HasStatusAndOutcome(*exchange, 502, "unknown"));
  }
}

// Guards against reporting "not-run" of the last attempt although an earlier
// attempt may have run.
BOOST_AUTO_TEST_CASE(ReportUnknownAfterAnAttemptThatMayHaveRun)
{
  const auto exchange = Send(Head("GET", "/permits/7"));
  client.Last().anyByteSent = true;
  client.Last().Fail(HttpFailureKind::Closed);
  BOOST_REQUIRE(client.exchanges.size() == 2U);
  client.Last().Respond(Refusal(504, "deadline-passed", "not-run"));
  BOOST_TEST(HasStatusAndOutcome(*exchange, 504, "unknown"));
}

// Guards against delayed retries that use the membership view from the start
// of the request: a request that arrived just before the view changed was
// refused by every owner for seconds.
BOOST_AUTO_TEST_CASE(UseTheCurrentMembershipView)
{
  Send(Head("GET", "/permits/7"));
  for (std::size_t shard = 1; shard <= 2; ++shard) {
    BOOST_REQUIRE(client.exchanges.size() == shard);
    BOOST_TEST(client.Last().server.port < 2001);
    client.Last().Respond(Refusal(403, "not-authentic", "not-run"));
  }
  service.SetView(TwoHostView(2001));
  BOOST_REQUIRE(WaitUntil([&] { return client.exchanges.size() == 3U; }));
  BOOST_TEST(client.Last().server.port >= 2001);
}

// Guards against retries that multiply the load during an outage.
BOOST_AUTO_TEST_CASE(StayWithinTheRetryBudget)
{
  for (int i = 0; i < 200; ++i) {
    Send(Head("GET", "/permits/7"));
    while (!client.Last().isCancelled) {
      auto& relay = client.Last();
      const std::size_t before = client.exchanges.size();
      relay.anyByteSent = true;
      relay.Fail(HttpFailureKind::Closed);
      if (client.exchanges.size() == before) {
        break;
      }
    }
  }
  // The budget allows 10% of the 200 requests, plus 1 retry per second over
  // its window of 10 s.
  BOOST_TEST(client.exchanges.size() <= 200U + 20U + 10U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithAnIdempotencyKey)

HttpRequestHead
KeyedHead()
{
  HttpRequestHead head = EntryFixture::Head("POST", "/permits");
  head.fields.Set("Idempotency-Key", "permit-42");
  return head;
}

// Guards against a request that is sent before its claim is granted.
BOOST_AUTO_TEST_CASE(IsSentOnlyAfterItsClaimIsGranted)
{
  claims.immediateResult.reset();
  Send(KeyedHead(), "{}");
  BOOST_TEST(client.exchanges.empty());
  claims.callback(FakeClaimRegistry::Granted());
  BOOST_TEST(client.exchanges.size() == 1U);
}

struct ClaimCase
{
  ClaimDecision decision;
  int status;
  const char* outcome;
};

const ClaimCase kClaimCases[] = {
  { ClaimDecision::Undecided, 409, "unknown" },
  { ClaimDecision::AlreadyRan, 409, "ran" },
  { ClaimDecision::FingerprintMismatch, 422, "not-run" },
  { ClaimDecision::StoreUnavailable, 503, "not-run" },
};

// Guards against a second run of a request whose key is already claimed or
// could not be checked.
BOOST_AUTO_TEST_CASE(IsNotSentWithoutAGrantedClaim)
{
  for (const ClaimCase& row : kClaimCases) {
    ClaimResult result;
    result.decision = row.decision;
    claims.immediateResult = result;
    const auto exchange = Send(KeyedHead(), "{}");
    BOOST_TEST(HasStatusAndOutcome(*exchange, row.status, row.outcome));
    BOOST_TEST(client.exchanges.empty());
  }
}

// Guards against a repeated request that gets a different response than the
// first one.
BOOST_AUTO_TEST_CASE(IsReplayedFromTheClaim)
{
  Send(KeyedHead(), "{}");
  HttpResponseHead head = Ok(4);
  head.status = 201;
  head.fields.Set("Content-Type", "text/plain");
  client.Last().Respond(head, "paid");
  BOOST_TEST(claims.completedStatus.value() == 201);
  BOOST_REQUIRE(claims.completedResponse.has_value());

  ClaimResult ran;
  ran.decision = ClaimDecision::AlreadyRan;
  ran.response = claims.completedResponse;
  claims.immediateResult = ran;
  const auto again = Send(KeyedHead(), "{}");
  BOOST_TEST(again->response.status == 201);
  BOOST_TEST(again->body == "paid");
  BOOST_TEST(client.exchanges.size() == 1U);
}

// Guards against releasing a claim although its request may have run.
BOOST_AUTO_TEST_CASE(StaysUndecidedWhenTheOutcomeIsUnknown)
{
  Send(KeyedHead(), "{}");
  client.Last().anyByteSent = true;
  client.Last().Fail(HttpFailureKind::Closed);
  BOOST_TEST(claims.abandoned == 1);
  BOOST_TEST(claims.released == 0);
}

// Guards against a key that stays claimed although its request did not run.
BOOST_AUTO_TEST_CASE(IsReleasedWhenTheRequestDidNotRun)
{
  Send(KeyedHead(), "{}");
  client.Last().Respond(Refusal(504, "deadline-passed", "not-run"));
  BOOST_TEST(claims.released == 1);
  BOOST_TEST(claims.abandoned == 0);
}

// Guards against a key that counts as used, or as free, because of a response
// that no session of the owner has sent.
BOOST_AUTO_TEST_CASE(StaysUndecidedAfterAResponseWithoutAnOutcome)
{
  Send(KeyedHead(), "{}");
  HttpResponseHead head;
  head.status = 408;
  client.Last().Respond(head);
  BOOST_TEST(!claims.completedStatus.has_value());
  BOOST_TEST(claims.released == 0);
  BOOST_TEST(claims.abandoned == 1);
}

// Guards against a lost connection after which the caller can never get
// another outcome than "unknown".
BOOST_AUTO_TEST_CASE(ContinuesWhenItsCallerDisconnects)
{
  Send(KeyedHead(), "{}");
  observer->OnRequestClosed(false);
  BOOST_TEST(!client.Last().isCancelled);
  client.Last().Respond(Ok(4), "paid");
  BOOST_TEST(claims.completedStatus.value() == 200);
}

// Guards against a claim that is granted after its caller disconnected and
// then never released.
BOOST_AUTO_TEST_CASE(IsReleasedWhenTheCallerDisconnectedBeforeTheClaim)
{
  claims.immediateResult.reset();
  Send(KeyedHead(), "{}");
  observer->OnRequestClosed(false);
  claims.callback(FakeClaimRegistry::Granted());
  BOOST_TEST(client.exchanges.empty());
  BOOST_TEST(claims.released == 1);
}

// Guards against a key of one customer that blocks or replays a request of
// another customer, and against a key that is reused for another body.
BOOST_AUTO_TEST_CASE(IsBoundToItsCustomerAndContent)
{
  Send(KeyedHead(), "{}");
  Send(KeyedHead(), "{\"amount\":2}");
  BOOST_REQUIRE(claims.requests.size() == 2U);
  BOOST_TEST(claims.requests[0].customer == "inspector");
  BOOST_TEST(claims.requests[0].fingerprint != claims.requests[1].fingerprint);
}

BOOST_AUTO_TEST_SUITE_END()

// A request with an idempotency key whose body of 200 KiB arrives in parts.
struct UploadFixture : EntryFixture
{
  UploadFixture()
  {
    HttpRequestHead head = Head("POST", "/permits");
    head.fields.Set("Idempotency-Key", "permit-42");
    head.framing = BodyFraming::Length;
    head.contentLength = 2 * block.size();
    exchange = std::make_shared<FakeServerExchange>(head);
  }

  // Sends the head and the first aBytes of the body.
  void Begin(std::size_t aBytes)
  {
    observer = service.OnRequest(exchange);
    observer->OnRequestBody(std::string_view(block).substr(0, aBytes));
  }

  const std::string block = std::string(100 * 1024, 'x');
  const RequestFailure tooSlow{ 408, 504, "too slow" };
  std::shared_ptr<FakeServerExchange> exchange;
};

BOOST_FIXTURE_TEST_SUITE(OfWhichTheRestOfTheBodyIsNotRead, UploadFixture)

// Guards against the promise "not run" for an upload of which an owner has a
// part.
BOOST_AUTO_TEST_CASE(PromisesNothingAfterAByteWasSent)
{
  Begin(block.size());
  BOOST_TEST_REQUIRE(client.exchanges.size() == 1U);
  client.Last().anyByteSent = true;
  observer->OnRequestFailed(tooSlow);
  BOOST_TEST(HasStatusAndOutcome(*exchange, 504, "unknown"));
  BOOST_TEST(client.Last().isCancelled);
  BOOST_TEST(claims.abandoned == 1);
  BOOST_TEST(claims.released == 0);
}

// Guards against evidence that is read while bytes can still be sent.
BOOST_AUTO_TEST_CASE(PromisesNothingIfAByteIsSentAtTheLastMoment)
{
  Begin(block.size());
  FakeClientExchange& relay = client.Last();
  relay.onCancel = [&relay] { relay.anyByteSent = true; };
  observer->OnRequestFailed(tooSlow);
  BOOST_TEST(HasStatusAndOutcome(*exchange, 504, "unknown"));
  BOOST_TEST(claims.abandoned == 1);
}

// Guards against an uncertain response, and a claimed key, for a request that
// has not left the host.
BOOST_AUTO_TEST_CASE(IsNotRunIfNoByteWasSent)
{
  Begin(block.size());
  BOOST_TEST_REQUIRE(client.exchanges.size() == 1U);
  observer->OnRequestFailed(tooSlow);
  BOOST_TEST(HasStatusAndOutcome(*exchange, 408, "not-run"));
  BOOST_TEST(client.Last().isCancelled);
  BOOST_TEST(claims.released == 1);
  BOOST_TEST(claims.abandoned == 0);
}

// Guards against a promise that a later event breaks.
BOOST_AUTO_TEST_CASE(IsNeverSentAfterItsRefusal)
{
  Begin(1);
  observer->OnRequestFailed(tooSlow);
  BOOST_TEST(HasStatusAndOutcome(*exchange, 408, "not-run"));
  observer->OnRequestBody(block);
  observer->OnRequestEnd();
  observer->OnRequestClosed(true);
  BOOST_TEST(client.exchanges.empty());
  BOOST_TEST(claims.requests.empty());
  BOOST_TEST(exchange->heads == 1);
}

// Guards against a claim that is granted after the refusal and sends the
// request or is never released.
BOOST_AUTO_TEST_CASE(IsNotSentByAClaimThatIsGrantedAfterItsRefusal)
{
  claims.immediateResult.reset();
  Begin(block.size());
  BOOST_TEST_REQUIRE(claims.requests.size() == 1U);
  observer->OnRequestFailed(tooSlow);
  BOOST_TEST(HasStatusAndOutcome(*exchange, 408, "not-run"));
  claims.callback(FakeClaimRegistry::Granted());
  BOOST_TEST(client.exchanges.empty());
  BOOST_TEST(claims.released == 1);
}

// Guards against a second response within the one that has begun.
BOOST_AUTO_TEST_CASE(IsAbortedIfItsResponseHasBegun)
{
  Begin(block.size());
  const auto relay = client.exchanges.at(0);
  relay->anyByteSent = true;
  relay->observer->OnResponseHead(Ok(10));
  observer->OnRequestFailed(tooSlow);
  BOOST_TEST(exchange->isAborted);
  BOOST_TEST(exchange->heads == 1);
  BOOST_TEST(relay->isCancelled);
  BOOST_TEST(claims.completedStatus.value() == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
