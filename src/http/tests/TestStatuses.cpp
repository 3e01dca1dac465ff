#include "http/HttpClient.h"
#include "http/HttpHeadWriter.h"
#include "http/tests/support/BadStatusLines.h"
#include "http/tests/support/EventLoop.h"
#include "http/tests/support/RawPeers.h"
#include "http/tests/support/RecordingApplication.h"
#include "http/tests/support/RecordingObserver.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using std::chrono::milliseconds;

namespace {

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

const auto kLines = boost::unit_test::data::make(BadStatusLines());

// A client of a server whose bytes the test chooses.
struct StatusFixture
{
  // Sends a request, for which the server sends aBytes.
  std::shared_ptr<RecordingObserver> Ask(const std::string& aBytes)
  {
    server.onReceived = [aBytes](RawConnection& aConnection) {
      aConnection.Send(aBytes);
    };
    for (const auto& connection : server.connections) {
      connection->onReceived = server.onReceived;
    }
    HttpRequestHead head;
    head.method = "GET";
    head.target = "/";
    auto observer = std::make_shared<RecordingObserver>();
    client->Start(server.Address(), head, {}, observer);
    BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
    return observer;
  }

  void CheckRefused(const RecordingObserver& aObserver)
  {
    BOOST_TEST(!aObserver.head.has_value());
    BOOST_TEST(aObserver.ends == 0);
    BOOST_REQUIRE(aObserver.failures == 1);
    BOOST_TEST((aObserver.failure->kind == HttpFailureKind::Malformed));
    BOOST_TEST(aObserver.failure->anyByteSent);
    BOOST_TEST(client->OpenConnections(server.Address()) == 0);
  }

  // Returns a whole response with aLine as its status line.
  static std::string Response(const std::string& aLine)
  {
    return aLine + "\r\nContent-Length: 0\r\n\r\n";
  }

  RawServer server;
  std::unique_ptr<HttpClient> client = HttpClient::Create({});
};

} // namespace

BOOST_AUTO_TEST_SUITE(Http)

BOOST_FIXTURE_TEST_SUITE(AStatusThatDoesNotExist, StatusFixture)

// Guards against a response that has no meaning and is passed on.
BOOST_DATA_TEST_CASE_F(StatusFixture, IsRefusedByTheClient, kLines, line)
{
  CheckRefused(*Ask(Response(line)));
}

BOOST_DATA_TEST_CASE_F(StatusFixture,
                       IsRefusedAfterAnInterimResponse,
                       kLines,
                       line)
{
  CheckRefused(*Ask("HTTP/1.1 100 Continue\r\n\r\n" + Response(line)));
}

BOOST_DATA_TEST_CASE_F(StatusFixture, IsRefusedOnAKeptConnection, kLines, line)
{
  BOOST_TEST(Ask(kOk)->ends == 1);
  CheckRefused(*Ask(Response(line)));
  BOOST_TEST(server.connections.size() == 1U);
}

// Guards against a late response of this kind that is taken for that to the
// next request.
BOOST_DATA_TEST_CASE_F(StatusFixture, IsNoPartOfTheNextExchange, kLines, line)
{
  BOOST_TEST(Ask(kOk + Response(line))->ends == 1);
  const auto next = Ask(kOk);
  BOOST_TEST(next->ends == 1);
  BOOST_TEST(server.connections.size() == 2U);
}

// Guards against a status that this host itself sends.
BOOST_AUTO_TEST_CASE(IsNotWritten)
{
  const int refused[] = {
    std::numeric_limits<int>::min(), -200, -1, 0, 1, 99, 600, 999, 2000,
    std::numeric_limits<int>::max(),
  };
  for (const int status : refused) {
    HttpResponseHead head;
    head.status = status;
    std::string reason;
    BOOST_TEST(!WriteResponseHead(head, { true, false }, reason));
    BOOST_TEST(!reason.empty());
  }
  for (int status = 100; status < 600; ++status) {
    HttpResponseHead head;
    head.status = status;
    std::string reason;
    const auto bytes = WriteResponseHead(head, { true, false }, reason);
    BOOST_REQUIRE(bytes);
    BOOST_TEST(bytes->starts_with("HTTP/1.1 " + std::to_string(status) + " "));
  }
}

// Guards against a caller that gets a status of 0 because of an error in a part
// of this program.
BOOST_AUTO_TEST_CASE(IsNotSentByTheServer)
{
  for (const int status : { -1, 0, 1, 99, 100, 199, 600, 999, 2000 }) {
    ServerFixture fixture;
    fixture.application.onEnd = [status](RecordingSession& aSession) {
      aSession.Respond("body", status);
    };
    RawConnection caller(fixture.server->Port());
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(WaitUntil([&] { return caller.isClosed; }));
    BOOST_TEST(caller.received == "");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
