#include "gateway/tests/GatewayFixture.h"

#include <set>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

struct StatementFixture : GatewayFixture
{
  StatementFixture() { SetDefaultRoutesAndServers(); }

  // A "not run" response of a server that wants no request for aPause.
  static HttpResponseHead MakePause(std::chrono::milliseconds aPause)
  {
    HttpResponseHead head = MakeNotRunResponse();
    head.fields.Add("Pause-Ms", std::to_string(aPause.count()));
    return head;
  }

  static HttpResponseHead Leaving(HttpResponseHead aHead)
  {
    aHead.fields.Add("Leaving", "1");
    return aHead;
  }

  Endpoint LastServer() { return client.Last().server; }

  // Sends a request and lets its server respond; returns the server.
  Endpoint RequestAndRespond(const HttpResponseHead& aHead)
  {
    Request("/once/1");
    Endpoint server = LastServer();
    client.Last().Respond(aHead);
    return server;
  }

  // Returns the ports of the servers that a request is sent to as long as it
  // reaches none: all that may get one, whichever are preferred.
  std::set<std::uint16_t> UsableServers()
  {
    std::set<std::uint16_t> ports;
    const auto caller = Request("/once/1");
    for (int i = 0; i < kServers && !caller->isFinished; ++i) {
      ports.insert(LastServer().port);
      client.Last().Fail(HttpFailureKind::Connect);
    }
    BOOST_TEST(caller->response.status == 503);
    return ports;
  }

  // Of SetDefaultRoutesAndServers.
  static constexpr int kServers = 3;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AServerThatStatesThatItLeaves, StatementFixture)

// Guards against requests to a server whose entry stays as it was.
BOOST_AUTO_TEST_CASE(GetsNoFurtherRequest)
{
  const Endpoint server = RequestAndRespond(Leaving(MakeResponse(200)));
  BOOST_TEST(UsableServers().size() == 2U);
  BOOST_TEST(!UsableServers().contains(server.port));
  BOOST_TEST((client.closedIdle == std::vector{ server }));
  // Its entry is read again, unchanged.
  SetServers(3);
  BOOST_TEST(!UsableServers().contains(server.port));
}

BOOST_AUTO_TEST_CASE(MayStateItWithAnyResponse)
{
  for (const HttpResponseHead& head :
       { MakeNotRunResponse(), MakeResponse(500), MakeResponse(200, false) }) {
    SetServers(0);
    SetServers(3);
    Request("/safe/1");
    const Endpoint server = LastServer();
    // The response is never completed.
    client.Last().anyByteSent = true;
    client.Last().observer->OnResponseHead(Leaving(head));
    client.Last().Fail(HttpFailureKind::Closed);
    BOOST_TEST(!UsableServers().contains(server.port));
  }
}

// Guards against a server that loses its work since a response to another
// request, or of another server at its address, states something.
BOOST_AUTO_TEST_CASE(StatesNothingInAForeignResponse)
{
  SetServers(1);
  RequestAndRespond(Leaving(WithoutId(MakeResponse(200))));
  RequestAndRespond(Leaving(MakeResponse(421)));
  RequestAndRespond(MakeResponse(200));
  BOOST_TEST(client.exchanges.size() == 3U);
  BOOST_TEST(client.closedIdle.empty());
}

BOOST_AUTO_TEST_CASE(IsUsedAgainOnceItHasStartedAgain)
{
  RequestAndRespond(Leaving(MakeResponse(200)));
  SetServers(3, 0, 17);
  BOOST_TEST(UsableServers().size() == 3U);
}

// Guards against an owner that does not know what the server has stated.
BOOST_AUTO_TEST_CASE(IsNotUsedThoughItsOwnerSelectsIt)
{
  SetServers(1);
  const auto owner = StartOwnerWithServer();
  Request("/once/1");
  BOOST_TEST_REQUIRE(WaitUntil([&] { return client.exchanges.size() == 1; }));
  const auto first = observer;
  const auto caller = Request("/once/2");
  client.exchanges[0]->Respond(Leaving(MakeResponse(200)));
  BOOST_TEST(WaitUntil([&] { return caller->isFinished; }));
  BOOST_TEST(caller->response.status == 503);
  BOOST_TEST(client.exchanges.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LeavesARequestWithoutServersToBeRefusedAtOnce)
{
  for (int i = 0; i < 3; ++i) {
    RequestAndRespond(Leaving(MakeResponse(200)));
  }
  const auto caller = Request("/once/1");
  BOOST_TEST(caller->response.status == 503);
  BOOST_TEST(caller->response.fields.Find("Retry-After").has_value());
  BOOST_TEST(client.exchanges.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AServerThatAsksForTime, StatementFixture)

// Guards against more than the two requests that a server tolerates.
BOOST_AUTO_TEST_CASE(GetsNoRequestUntilThen)
{
  const Endpoint server = RequestAndRespond(MakePause(3s));
  BOOST_TEST(!UsableServers().contains(server.port));
  clock.Pause(2'900ms);
  BOOST_TEST(!UsableServers().contains(server.port));
  clock.Pause(100ms);
  BOOST_TEST(UsableServers().contains(server.port));
}

BOOST_AUTO_TEST_CASE(GetsNoRetryAndNoHedge)
{
  const Endpoint server = RequestAndRespond(MakePause(3s));
  for (int i = 0; i < 10; ++i) {
    Request("/safe/1");
    BOOST_TEST((LastServer() != server));
    client.Last().Respond(MakeResponse(500));
    BOOST_TEST((LastServer() != server));
    client.Last().Respond(MakeResponse(200));
  }
  Request("/safe/1");
  client.Last().anyByteSent = true;
  const std::size_t sent = client.exchanges.size();
  BOOST_TEST_REQUIRE(
    WaitUntil([&] { return client.exchanges.size() > sent; }, 1'500ms));
  BOOST_TEST((LastServer() != server));
}

// Guards against an earlier, longer wish that a later response shortens.
BOOST_AUTO_TEST_CASE(GetsTheLongestOfItsTimes)
{
  SetServers(1);
  Request("/once/1");
  const auto first = client.exchanges.back();
  Request("/once/2");
  client.Last().Respond(MakePause(3s));
  first->Respond(MakePause(1s));
  clock.Pause(2s);
  BOOST_TEST(Request("/once/3")->response.status == 503);
}

// Guards against a "not run" response to a request that may have run, and
// against a pause that any response could state.
BOOST_AUTO_TEST_CASE(MayHaveRunTheRequest)
{
  HttpResponseHead unproven = MakeResponse(503);
  unproven.fields.Add("Pause-Ms", "3000");
  const auto caller = Request("/once/1");
  const Endpoint server = LastServer();
  client.Last().Respond(unproven);
  BOOST_TEST(caller->response.status == 502);
  BOOST_TEST(!UsableServers().contains(server.port));
  HttpResponseHead served = MakeResponse(200);
  served.fields.Add("Pause-Ms", "3000");
  RequestAndRespond(served);
  BOOST_TEST(UsableServers().size() == 2U);
}

// Guards against callers that wait for nothing, and against callers that return
// together.
BOOST_AUTO_TEST_CASE(LeavesARequestWithoutServersToBeRefusedUntilThen)
{
  SetServers(2);
  Request("/once/1");
  client.Last().Respond(MakePause(4s));
  // The retry was sent to the other server.
  client.Last().Respond(MakePause(2s));
  std::set<std::string> times;
  for (int i = 0; i < 20; ++i) {
    const auto caller = Request("/once/1");
    BOOST_TEST(caller->response.status == 503);
    const std::string text(*caller->response.fields.Find("Retry-After"));
    times.insert(text);
    BOOST_TEST(std::stod(text) > 1.9);
    BOOST_TEST(std::stod(text) <= 2.5);
  }
  BOOST_TEST(times.size() > 10U);
  BOOST_TEST(client.exchanges.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
