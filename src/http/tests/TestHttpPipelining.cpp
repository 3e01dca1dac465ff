#include "http/tests/support/EventLoop.h"
#include "http/tests/support/RawPeers.h"
#include "http/tests/support/RecordingApplication.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

std::string
Get(std::string_view aTarget, std::string_view aFields = "")
{
  return "GET " + std::string(aTarget) + " HTTP/1.1\r\nHost: h\r\n" +
         std::string(aFields) + "\r\n";
}

// Every request waits until the test responds to it.
struct PipelineFixture : ServerFixture
{
  PipelineFixture()
    : caller(server->Port())
  {
    application.onEnd = {};
  }

  bool WaitForRequests(std::size_t aCount)
  {
    return WaitUntil([&] { return application.sessions.size() == aCount; });
  }
  RecordingSession& Session(std::size_t aIndex)
  {
    return *application.sessions[aIndex];
  }

  RawConnection caller;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Http)

BOOST_FIXTURE_TEST_SUITE(PipelinedRequests, PipelineFixture)

// Guards against responses that are sent in the order in which they are ready.
BOOST_AUTO_TEST_CASE(RunConcurrentlyAndGetResponsesInOrder)
{
  caller.Send(Get("/concurrent/1") + Get("/concurrent/2") +
              Get("/concurrent/3"));
  BOOST_TEST_REQUIRE(WaitForRequests(3));
  Session(2).Respond("third");
  Session(1).Respond("second");
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(caller.received.empty());
  Session(0).Respond("first");
  BOOST_TEST(WaitUntil([&] { return caller.Count("HTTP/1.1 200") == 3; }));
  const auto first = caller.received.find("first");
  const auto second = caller.received.find("second");
  const auto third = caller.received.find("third");
  BOOST_TEST(first < second);
  BOOST_TEST(second < third);
  BOOST_TEST(WaitUntil([&] { return Session(2).closes == 1; }));
  BOOST_TEST(Session(2).isComplete);
}

// Guards against a request that must not run twice and is started before it is
// known whether its caller has to send it again.
BOOST_AUTO_TEST_CASE(WaitForEarlierResponsesUnlessTheyMayRunConcurrently)
{
  caller.Send(Get("/concurrent/1") + Get("/once") + Get("/concurrent/2"));
  BOOST_TEST_REQUIRE(WaitForRequests(1));
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(application.sessions.size() == 1U);
  Session(0).Respond("first");
  BOOST_TEST_REQUIRE(WaitForRequests(3));
  Session(2).Respond("third");
  Session(1).Respond("second");
  BOOST_TEST(WaitUntil([&] { return caller.Count("HTTP/1.1 200") == 3; }));
}

// Guards against requests that have run and get no response, since the one
// before theirs is aborted.
BOOST_AUTO_TEST_CASE(WaitForAResponseThatMayBeAborted)
{
  caller.Send(Get("/concurrent/1") + Get("/concurrent/large") +
              Get("/concurrent/3") + Get("/concurrent/4"));
  BOOST_TEST_REQUIRE(WaitForRequests(2));
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(application.sessions.size() == 2U);
  Session(0).Respond("first");
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(application.sessions.size() == 2U);
  Session(1).Respond("second");
  BOOST_TEST_REQUIRE(WaitForRequests(4));
  Session(3).Respond("fourth");
  Session(2).Respond("third");
  BOOST_TEST(WaitUntil([&] { return caller.Count("HTTP/1.1 200") == 4; }));
}

BOOST_AUTO_TEST_CASE(AreNotStartedBehindAResponseThatIsAborted)
{
  caller.Send(Get("/concurrent/large") + Get("/concurrent/2"));
  BOOST_TEST_REQUIRE(WaitForRequests(1));
  HttpResponseHead head;
  head.status = 200;
  head.framing = BodyFraming::Chunked;
  Session(0).exchange->SendHead(head);
  Session(0).exchange->SendBody(std::string_view("a part"));
  BOOST_TEST(WaitUntil([&] { return caller.Count("a part") == 1; }));
  Session(0).exchange->Abort();
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(application.sessions.size() == 1U);
}

// As above, for a response that turns out to be sent in parts.
BOOST_AUTO_TEST_CASE(WaitForAResponseOfWhichAPartIsSent)
{
  caller.Send(Get("/concurrent/1"));
  BOOST_TEST_REQUIRE(WaitForRequests(1));
  HttpResponseHead head;
  head.status = 200;
  head.framing = BodyFraming::Chunked;
  Session(0).exchange->SendHead(head);
  Session(0).exchange->SendBody(std::string_view("a part"));
  caller.Send(Get("/concurrent/2"));
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(application.sessions.size() == 1U);
  Session(0).exchange->Finish();
  BOOST_TEST_REQUIRE(WaitForRequests(2));
  Session(1).Respond("second");
  BOOST_TEST(WaitUntil([&] { return caller.Count("second") == 1; }));
}

// Guards against requests of one caller that use up all memory.
BOOST_AUTO_TEST_CASE(AreLimitedInNumber)
{
  const std::size_t most = HttpServerLimits{}.concurrentRequests;
  std::string requests;
  for (std::size_t i = 0; i < most + 5; ++i) {
    requests += Get("/concurrent");
  }
  caller.Send(requests);
  BOOST_TEST_REQUIRE(WaitForRequests(most));
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(application.sessions.size() == most);
  Session(0).Respond("x");
  BOOST_TEST(WaitForRequests(most + 1));
}

// Guards against running requests that are aborted because an earlier response
// closes the connection.
BOOST_AUTO_TEST_CASE(GetResponsesBeforeAStopClosesTheConnection)
{
  caller.Send(Get("/concurrent/1") + Get("/concurrent/2"));
  BOOST_TEST_REQUIRE(WaitForRequests(2));
  server->CloseAfterResponses();
  caller.Send(Get("/concurrent/3"));
  Session(0).Respond("first");
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(caller.Count("Connection: close") == 0);
  Session(1).Respond("second");
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(caller.Count("HTTP/1.1 200") == 2);
  BOOST_TEST(caller.Count("Connection: close") == 1);
  BOOST_TEST(application.sessions.size() == 2U);
}

// Guards against work that continues for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(EndTogetherWhenTheCallerDisconnects)
{
  caller.Send(Get("/concurrent/1") + Get("/concurrent/2"));
  BOOST_TEST_REQUIRE(WaitForRequests(2));
  caller.Socket().abort();
  BOOST_TEST(WaitUntil(
    [&] { return Session(0).closes == 1 && Session(1).closes == 1; }));
  BOOST_TEST(!Session(0).isComplete);
  BOOST_TEST(!Session(1).isComplete);
}

// Guards against running requests that are cut off because the body of a later
// one is invalid.
BOOST_AUTO_TEST_CASE(GetResponsesBeforeThatToAnInvalidBody)
{
  caller.Send(Get("/concurrent/1") +
              Get("/concurrent/2", "Transfer-Encoding: chunked\r\n") + "x\r\n");
  BOOST_TEST_REQUIRE(WaitForRequests(2));
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(caller.received.empty());
  Session(0).Respond("first");
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  const auto first = caller.received.find("first");
  const auto error = caller.received.find("HTTP/1.1 400");
  BOOST_TEST(first < error);
  BOOST_TEST(caller.Count("HTTP/1.1 ") == 2);
  BOOST_TEST(caller.Count("Connection: close") == 1);
  BOOST_TEST(Session(0).isComplete);
  BOOST_TEST(Session(1).failures == 1);
}

// Guards against an error response that is taken for the response to another
// request.
BOOST_AUTO_TEST_CASE(DoNotGetTheErrorResponseOfALaterOne)
{
  caller.Send(Get("/concurrent/1") + "no request\r\n\r\n");
  BOOST_TEST_REQUIRE(WaitForRequests(1));
  BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
  BOOST_TEST(caller.Count("HTTP/1.1 400") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against connections that stay open on a stopping host.
BOOST_FIXTURE_TEST_CASE(AStoppingServerStillServesNewConnections,
                        PipelineFixture)
{
  server->CloseAfterResponses();
  RawConnection late(server->Port());
  late.Send(Get("/late"));
  BOOST_TEST_REQUIRE(WaitForRequests(1));
  Session(0).Respond("served");
  BOOST_TEST(WaitUntil([&] { return late.isClosed; }));
  BOOST_TEST(late.Count("Connection: close") == 1);
  BOOST_TEST(late.Count("served") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
