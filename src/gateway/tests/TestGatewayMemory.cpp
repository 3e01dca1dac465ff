#include "gateway/tests/GatewayFixture.h"

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

constexpr std::size_t kPart = 64'000;

struct MemoryFixture : GatewayFixture
{
  MemoryFixture() { SetDefaultRoutesAndServers(); }

  // Lets other requests take all memory but aBytes.
  void LeaveMemory(std::size_t aBytes)
  {
    BOOST_TEST_REQUIRE(
      others.GrowTo(others.Bytes() + memory.Limit() - memory.Used() - aBytes));
  }

  // The server of the last attempt sends parts of a response.
  void SendParts(const HttpResponseHead& aHead, int aParts)
  {
    const auto sent = client.exchanges.back();
    sent->anyByteSent = true;
    sent->observer->OnResponseHead(aHead);
    for (int i = 0; i < aParts && !sent->isCancelled; ++i) {
      sent->observer->OnResponseBody(std::string(kPart, 'x'));
    }
  }

  // Ends the current request, whose caller has received its response.
  void EndRequest()
  {
    observer->OnRequestClosed(true);
    observer.reset();
    client.exchanges.clear();
    RunFor(std::chrono::milliseconds(5));
  }

  MemoryReservation others{ memory };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheMemoryOfAHost, MemoryFixture)

// Guards against a host that runs out of memory, and whose requests all end
// with it, since faulty servers begin responses and never end them: each is
// below the size that is buffered, all of them together are not.
BOOST_AUTO_TEST_CASE(BoundsTheResponsesThatNeverEnd)
{
  constexpr int kRequests = 100;
  constexpr int kParts = 16;
  std::vector<std::shared_ptr<HttpRequestObserver>> running;
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto caller = Request("/once/1", 300);
    running.push_back(observer);
    if (caller->isFinished) {
      BOOST_TEST(caller->response.status == 503);
      BOOST_TEST(caller->response.fields.Find("Retry-After").has_value());
      ++refused;
    } else {
      SendParts(MakeResponse(200), kParts);
    }
  }
  const std::size_t buffered =
    static_cast<std::size_t>(kRequests - refused) * kParts * kPart;
  BOOST_TEST(buffered > memory.Limit() / 2);
  BOOST_TEST(buffered <= memory.Limit());
  // The memory is free again after the deadline of the requests.
  RunFor(std::chrono::milliseconds(350));
  observer.reset();
  running.clear();
  client.exchanges.clear();
  BOOST_TEST(memory.Used() == 0U);
  Request("/once/1");
  client.Last().Respond(MakeResponse(200), "served");
}

BOOST_AUTO_TEST_SUITE(ThatIsScarce)

BOOST_AUTO_TEST_CASE(IsNotTakenByNewRequests)
{
  LeaveMemory(memory.Limit() / 4);
  const auto caller = Request("/once/1");
  BOOST_TEST(caller->response.status == 503);
  BOOST_TEST(client.exchanges.empty());
  BOOST_TEST(metrics.Format().find("out_of_memory_total 1\n") !=
             std::string::npos);
}

// A response that cannot be buffered is forwarded while it arrives.
BOOST_AUTO_TEST_CASE(LetsAResponsePassInPieces)
{
  const auto caller = Request("/once/1");
  LeaveMemory(5 * kPart);
  SendParts(MakeResponse(200), 12);
  BOOST_TEST(caller->body.size() == 12 * kPart);
  client.Last().observer->OnResponseEnd();
  BOOST_TEST(caller->isFinished);
  EndRequest();
  BOOST_TEST(memory.Used() == others.Bytes());
}

// Guards against a "not run" response to a request that may have run.
BOOST_AUTO_TEST_CASE(EndsAnAttemptWhoseResponseCannotPass)
{
  const auto caller = Request("/safe/1");
  LeaveMemory(kPart);
  SendParts(MakeResponse(200), 3);
  BOOST_TEST(client.Last().isCancelled);
  BOOST_TEST(client.exchanges.size() == 1U);
  BOOST_TEST(caller->response.status == 502);
}

// Guards against a response without a signature that is forwarded for want of
// memory.
BOOST_AUTO_TEST_CASE(LetsNoUnprovenResponsePass)
{
  const auto caller = Request("/once/1");
  LeaveMemory(5 * kPart);
  SendParts(MakeResponse(200, false), 12);
  BOOST_TEST(client.Last().isCancelled);
  BOOST_TEST(caller->response.status == 502);
}

BOOST_AUTO_TEST_CASE(RefusesABodyThatCannotBeBuffered)
{
  HttpRequestHead head;
  head.method = "POST";
  head.target = "/once/1";
  head.fields.Add("Host", "h");
  head.fields.Add("Id", "request-1");
  head.framing = BodyFraming::Length;
  head.contentLength = 3 * kPart;
  const auto caller = std::make_shared<FakeServerExchange>(head);
  observer = service->OnRequest(caller);
  LeaveMemory(4 * kPart);
  observer->OnRequestBody(std::string(kPart, 'x'));
  BOOST_TEST(!caller->isFinished);
  observer->OnRequestBody(std::string(kPart, 'x'));
  BOOST_TEST(caller->response.status == 503);
  observer->OnRequestBody(std::string(kPart, 'x'));
  observer->OnRequestEnd();
  BOOST_TEST(client.exchanges.empty());
  EndRequest();
  BOOST_TEST(memory.Used() == others.Bytes());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against callers that do not read, so that whole responses wait in the
// memory of the host.
BOOST_AUTO_TEST_CASE(CountsAResponseUntilItsCallerHasReceivedIt)
{
  Request("/once/1");
  client.Last().Respond(MakeResponse(200), std::string(kPart, 'x'));
  client.exchanges.clear();
  BOOST_TEST(memory.Used() > kPart);
  EndRequest();
  BOOST_TEST(memory.Used() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
