#include "base/SeededRandom.h"
#include "http/HttpClient.h"
#include "http/tests/support/EventLoop.h"
#include "http/tests/support/RawPeers.h"
#include "http/tests/support/RecordingApplication.h"
#include "http/tests/support/RecordingObserver.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

const std::string kEmptyOk = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

HttpRequestHead
Get(std::string_view aTarget = "/")
{
  HttpRequestHead head;
  head.method = "GET";
  head.target = aTarget;
  return head;
}

HttpRequestHead
Post(std::uint64_t aLength)
{
  HttpRequestHead head;
  head.method = "POST";
  head.target = "/p";
  head.framing = BodyFraming::Length;
  head.contentLength = aLength;
  return head;
}

std::string
Ok(std::string_view aBody)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + std::string(aBody);
}

struct ClientFixture
{
  std::shared_ptr<RecordingObserver> Start(
    const HttpRequestHead& aHead,
    const HttpClientOptions& aOptions = {})
  {
    auto observer = std::make_shared<RecordingObserver>();
    exchange = client->Start(server.Address(), aHead, aOptions, observer);
    // No event may be delivered during the call.
    BOOST_TEST(observer->events == 0);
    return observer;
  }

  // Makes the server send aResponse for every complete request head.
  void RespondToHeadsWith(const std::string& aResponse, bool aCloses = false)
  {
    server.onReceived = [aResponse, aCloses](RawConnection& aConnection) {
      if (aConnection.received.ends_with("\r\n\r\n")) {
        aConnection.Send(aResponse);
        if (aCloses) {
          aConnection.Close();
        }
      }
    };
  }

  int OpenConnections() const
  {
    return client->OpenConnections(server.Address());
  }

  // Returns an address with a port that nothing listens on.
  static Endpoint RefusedAddress()
  {
    QTcpServer unused;
    unused.listen(QHostAddress(QHostAddress::LocalHost));
    return { "127.0.0.1", unused.serverPort() };
  }

  RawServer server;
  std::unique_ptr<HttpClient> client = HttpClient::Create({});
  std::shared_ptr<HttpClientExchange> exchange;
};

struct BadResponse
{
  const char* name;
  std::string bytes;
  HttpFailureKind kind;
};

std::ostream&
operator<<(std::ostream& aStream, const BadResponse& aResponse)
{
  return aStream << aResponse.name;
}

const std::vector<BadResponse> kBadResponses{
  { "nothing", "", HttpFailureKind::Closed },
  { "half a head", "HTTP/1.1 200 OK\r\nContent-", HttpFailureKind::Closed },
  { "only an interim response",
    "HTTP/1.1 100 Continue\r\n\r\n",
    HttpFailureKind::Closed },
  { "short Content-Length",
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n123456789",
    HttpFailureKind::Closed },
  { "chunked without the last chunk",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    HttpFailureKind::Closed },
  { "chunked within a chunk",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
    HttpFailureKind::Closed },
  { "chunked within the last chunk",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
    HttpFailureKind::Closed },
  { "no HTTP", "SSH-2.0-OpenSSH\r\n\r\n", HttpFailureKind::Malformed },
  { "empty line first", "\r\n" + kEmptyOk, HttpFailureKind::Malformed },
  { "bare LF", "HTTP/1.1 200 OK\nX: y\n\n", HttpFailureKind::Malformed },
  { "Content-Length with Transfer-Encoding",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n0\r\n\r\n",
    HttpFailureKind::Malformed },
  { "repeated Content-Length",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    HttpFailureKind::Malformed },
  { "unknown transfer coding",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
    HttpFailureKind::Malformed },
  { "malformed chunk",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
    HttpFailureKind::Malformed },
  { "protocol switch",
    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
    HttpFailureKind::Malformed },
  { "status out of range",
    "HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n",
    HttpFailureKind::Malformed },
  { "HTTP/2",
    "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    HttpFailureKind::Malformed },
  { "oversized head",
    "HTTP/1.1 200 OK\r\nX: " + std::string(70'000, 'x') + "\r\n\r\n",
    HttpFailureKind::Malformed },
};

} // namespace

BOOST_AUTO_TEST_SUITE(Http)

BOOST_AUTO_TEST_SUITE(Client)

BOOST_FIXTURE_TEST_SUITE(SentOnce, ClientFixture)

// Guards against a client that retries a POST by itself: the server may have
// processed it before it closed the connection.
BOOST_AUTO_TEST_CASE(AServerThatClosesWithoutAResponseGetsOnePost)
{
  server.onReceived = [](RawConnection& aConnection) {
    if (aConnection.received.ends_with("hello")) {
      aConnection.Close();
    }
  };
  const auto observer = Start(Post(5));
  exchange->SendBody(std::string_view("hello"));
  exchange->FinishBody();
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(observer->failures == 1);
  BOOST_TEST((observer->failure->kind == HttpFailureKind::Closed));
  BOOST_TEST(observer->failure->anyByteSent);
  BOOST_TEST(observer->requestsSent == 1);
  BOOST_REQUIRE(server.connections.size() == 1U);
  BOOST_TEST(server.connections[0]->Count("POST /p") == 1);
}

BOOST_AUTO_TEST_CASE(AServerThatClosesAtOnceGetsAtMostOnePost)
{
  server.onAccepted = [](RawConnection& aConnection) {
    aConnection.Socket().abort();
  };
  const auto observer = Start(Post(5));
  exchange->SendBody(std::string_view("hello"));
  exchange->FinishBody();
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(observer->failures == 1);
  BOOST_TEST((observer->failure->kind == HttpFailureKind::Closed));
  BOOST_TEST(server.connections.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AServerThatClosesWithinTheBodyGetsOnePost)
{
  server.onReceived = [](RawConnection& aConnection) {
    if (aConnection.received.ends_with("half")) {
      aConnection.Close();
    }
  };
  const auto observer = Start(Post(8));
  exchange->SendBody(std::string_view("half"));
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  exchange->SendBody(std::string_view("rest"));
  exchange->FinishBody();
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(observer->failures == 1);
  BOOST_TEST(observer->failure->anyByteSent);
  BOOST_TEST(observer->requestsSent == 0);
  BOOST_TEST(server.connections.size() == 1U);
  BOOST_TEST(server.Received().ends_with("half"));
}

// Guards against a request that is sent again on a new connection when an idle
// one turns out to be closed, and against the use of a closed idle connection.
BOOST_AUTO_TEST_CASE(AnIdleConnectionThatThePeerClosedIsNotUsed)
{
  RespondToHeadsWith(kEmptyOk);
  const auto first = Start(Get("/1"));
  BOOST_TEST(WaitUntil([&] { return first->IsOver(); }));
  BOOST_TEST(OpenConnections() == 1);

  // The kernel has received the close, but the client has not handled it yet.
  server.connections[0]->Socket().abort();
  const auto second = Start(Post(0));
  BOOST_TEST(WaitUntil([&] { return second->IsOver(); }));
  BOOST_TEST(second->ends == 1);
  BOOST_REQUIRE(server.connections.size() == 2U);
  BOOST_TEST(server.connections[0]->Count("POST") == 0);
  BOOST_TEST(server.connections[1]->Count("POST") == 1);
  BOOST_TEST(OpenConnections() == 1);
}

// Guards against a late copy of the response to a request that is taken for the
// response to another request with the same id.
BOOST_AUTO_TEST_CASE(RequestsWithTheSameIdDoNotShareAConnection)
{
  RespondToHeadsWith(kEmptyOk);
  const auto connectionOf = [this](std::optional<std::string> aId) {
    HttpClientOptions options;
    options.requestId = std::move(aId);
    const auto observer = Start(Get(), options);
    BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
    return exchange->Connection().connectionNumber;
  };
  const auto first = connectionOf("a");
  BOOST_TEST(connectionOf("b") == first);
  const auto second = connectionOf("a");
  BOOST_TEST(second != first);
  BOOST_TEST(connectionOf("b") == second);
  const auto third = connectionOf("a");
  BOOST_TEST(third != first);
  BOOST_TEST(third != second);
  BOOST_TEST(OpenConnections() == 3);
  // Requests without an id in their responses may use any of them.
  BOOST_TEST(connectionOf(std::nullopt) == third);
}

// Requests without an id have an empty one in common: nothing tells a late copy
// of the response to one from the response to another.
BOOST_AUTO_TEST_CASE(RequestsWithAnEmptyIdDoNotShareAConnection)
{
  RespondToHeadsWith(kEmptyOk);
  for (std::size_t i = 1; i <= 3; ++i) {
    HttpClientOptions options;
    options.requestId = "";
    const auto observer = Start(Get(), options);
    BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
    BOOST_TEST(server.connections.size() == i);
  }
}

// Guards against a connection that is taken for a request with an id that it
// has carried, whatever the order in which requests begin and end. Each request
// is started within the last event of an earlier one.
BOOST_AUTO_TEST_CASE(ConcurrentRequestsWithTheSameIdDoNotShareAConnection)
{
  constexpr std::size_t kRequests = 400;
  constexpr int kConcurrentRequests = 5;
  constexpr std::uint64_t kIds = 12;
  SeededRandom random(7);
  std::map<const RawConnection*, std::set<std::string>> idsByConnection;
  int repeatedIds = 0;
  server.onReceived = [&](RawConnection& aConnection) {
    if (!aConnection.received.ends_with("\r\n\r\n")) {
      return;
    }
    const std::string head = std::exchange(aConnection.received, {});
    const std::string target = head.substr(0, head.find(" HTTP/1.1"));
    repeatedIds += idsByConnection[&aConnection].insert(target).second ? 0 : 1;
    aConnection.Send(random.Below(10) == 0
                       ? "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                         "Content-Length: 0\r\n\r\n"
                       : kEmptyOk);
  };
  std::size_t started = 0;
  std::size_t ended = 0;
  std::function<void()> startNext = [&] {
    if (started == kRequests) {
      return;
    }
    ++started;
    HttpClientOptions options;
    options.requestId = std::to_string(random.Below(kIds));
    const auto observer = Start(Get('/' + *options.requestId), options);
    observer->onOver = [&, raw = observer.get()] {
      ended += static_cast<std::size_t>(raw->ends);
      startNext();
    };
  };
  for (int i = 0; i < kConcurrentRequests; ++i) {
    startNext();
  }
  BOOST_TEST(WaitUntil([&] { return ended == kRequests; }));
  BOOST_TEST(repeatedIds == 0);
  BOOST_TEST(server.connections.size() < kRequests / 2);
}

// Guards against memory that grows with the number of requests on a connection.
BOOST_AUTO_TEST_CASE(AConnectionIsReplacedAfterManyRequestsWithIds)
{
  RespondToHeadsWith(kEmptyOk);
  constexpr std::uint64_t kMost = 1'024;
  std::uint64_t longest = 0;
  for (std::uint64_t i = 0; i <= kMost; ++i) {
    HttpClientOptions options;
    options.requestId = std::to_string(i);
    const auto observer = Start(Get(), options);
    BOOST_TEST_REQUIRE(WaitUntil([&] { return observer->IsOver(); }));
    longest = std::max(longest, exchange->Connection().exchangeNumber);
  }
  BOOST_TEST(longest == kMost);
  BOOST_TEST(OpenConnections() == 1);
}

// Guards against logs that cannot tell two attempts on one connection from two
// on different ones.
BOOST_AUTO_TEST_CASE(AnExchangeTellsWhichConnectionCarriesIt)
{
  RespondToHeadsWith(kEmptyOk);
  const auto connectionOf = [this](const HttpClientOptions& aOptions) {
    const auto observer = Start(Get(), aOptions);
    BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
    return exchange->Connection();
  };
  const ConnectionUse first = connectionOf({});
  const ConnectionUse second = connectionOf({});
  const ConnectionUse fresh = connectionOf({ .freshConnection = true });
  BOOST_TEST(first.exchangeNumber == 1U);
  BOOST_TEST(second.connectionNumber == first.connectionNumber);
  BOOST_TEST(second.exchangeNumber == 2U);
  BOOST_TEST(fresh.connectionNumber != first.connectionNumber);
  BOOST_TEST(fresh.exchangeNumber == 1U);
}

// Guards against a late response to an earlier request that cannot be told from
// that of a server which names its responses as it likes.
BOOST_AUTO_TEST_CASE(AnExchangeTellsWhichRequestsItsConnectionCarried)
{
  RespondToHeadsWith(kEmptyOk);
  const auto first = Start(Get(), { .requestId = "a" });
  BOOST_TEST(WaitUntil([&] { return first->IsOver(); }));
  Start(Get(), { .requestId = "b" });
  BOOST_TEST(exchange->Connection().exchangeNumber == 2U);
  BOOST_TEST(exchange->MayHaveCarried("a"));
  BOOST_TEST(exchange->MayHaveCarried("b"));
  BOOST_TEST(!exchange->MayHaveCarried("c"));
  Start(Get(), { .freshConnection = true, .requestId = "c" });
  BOOST_TEST(!exchange->MayHaveCarried("a"));
}

BOOST_AUTO_TEST_CASE(AnIdleConnectionThatThePeerClosesIsRemoved)
{
  RespondToHeadsWith(kEmptyOk, true);
  const auto observer = Start(Get());
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST(observer->ends == 1);
  BOOST_TEST(WaitUntil([&] { return OpenConnections() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AnyByteSent, ClientFixture)

// Guards against the outcome "not run" for a request that the server may have
// received, and against "unknown" for one that it cannot have received.
BOOST_AUTO_TEST_CASE(ARefusedConnectionSentNothing)
{
  auto observer = std::make_shared<RecordingObserver>();
  exchange = client->Start(RefusedAddress(), Post(5), {}, observer);
  exchange->SendBody(std::string_view("hello"));
  BOOST_TEST(observer->events == 0);
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST((observer->failure->kind == HttpFailureKind::Connect));
  BOOST_TEST(!observer->failure->anyByteSent);
  BOOST_TEST(!exchange->AnyByteSent());
  BOOST_TEST(observer->events == 1);
}

BOOST_AUTO_TEST_CASE(AnAddressThatIsNoIpAddressSentNothing)
{
  auto observer = std::make_shared<RecordingObserver>();
  exchange = client->Start({ "localhost.test", 80 }, Get(), {}, observer);
  BOOST_TEST(observer->events == 0);
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST((observer->failure->kind == HttpFailureKind::Connect));
  BOOST_TEST(!observer->failure->anyByteSent);
}

// Guards against an attempt that waits forever: a listener whose backlog is
// full ignores further connections.
BOOST_AUTO_TEST_CASE(AConnectionThatDoesNotOpenInTimeSentNothing)
{
  QTcpServer full;
  full.setListenBacklogSize(1);
  BOOST_REQUIRE(full.listen(QHostAddress(QHostAddress::LocalHost)));
  full.pauseAccepting();
  constexpr int kFillers = 4;
  std::vector<std::unique_ptr<RawConnection>> fillers;
  fillers.reserve(kFillers);
  for (int i = 0; i < kFillers; ++i) {
    fillers.push_back(std::make_unique<RawConnection>(full.serverPort()));
  }
  RunFor(std::chrono::milliseconds(20));
  auto observer = std::make_shared<RecordingObserver>();
  exchange = client->Start({ "127.0.0.1", full.serverPort() },
                           Get(),
                           { false, std::chrono::milliseconds(50) },
                           observer);
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST((observer->failure->kind == HttpFailureKind::Connect));
  BOOST_TEST(!observer->failure->anyByteSent);
}

BOOST_AUTO_TEST_CASE(AHeadThatCannotBeWrittenSentNothing)
{
  HttpRequestHead head = Get("/a b");
  const auto observer = Start(head);
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST(!observer->failure->anyByteSent);
  BOOST_TEST(server.connections.empty());
}

BOOST_AUTO_TEST_CASE(ACancelBeforeTheConnectionIsOpenSentNothing)
{
  const auto observer = Start(Post(5));
  exchange->Cancel();
  BOOST_TEST(observer->events == 0);
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST((observer->failure->kind == HttpFailureKind::Cancelled));
  BOOST_TEST(!observer->failure->anyByteSent);
  BOOST_TEST(observer->events == 1);
  BOOST_TEST(server.Received().empty());
  BOOST_TEST(OpenConnections() == 0);
}

// Guards against reporting that nothing was sent although the kernel has the
// bytes, whether or not the server has read them.
BOOST_AUTO_TEST_CASE(ACancelAfterTheHeadWasWrittenSentSomething)
{
  server.onAccepted = [](RawConnection& aConnection) {
    aConnection.isReading = false;
  };
  const auto observer = Start(Post(5));
  BOOST_TEST(!exchange->AnyByteSent());
  BOOST_TEST(WaitUntil([&] { return exchange->AnyByteSent(); }));
  BOOST_TEST(exchange->UnsentBytes() == 0U);
  exchange->Cancel();
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST((observer->failure->kind == HttpFailureKind::Cancelled));
  BOOST_TEST(observer->failure->anyByteSent);
  BOOST_TEST(exchange->AnyByteSent());
  BOOST_TEST(observer->requestsSent == 0);
}

// Cancels requests at many different moments: when the client reports that
// nothing was sent, the server must never receive a byte.
BOOST_AUTO_TEST_CASE(NothingArrivesWhenNothingWasSent)
{
  int unsent = 0;
  int sent = 0;
  for (int turns = 0; turns < 12; ++turns) {
    for (int repeat = 0; repeat < 10; ++repeat) {
      RawServer target;
      auto observer = std::make_shared<RecordingObserver>();
      const auto running =
        client->Start(target.Address(), Post(5), {}, observer);
      for (int i = 0; i < turns; ++i) {
        QCoreApplication::processEvents();
      }
      running->Cancel();
      BOOST_REQUIRE(WaitUntil([&] { return observer->IsOver(); }));
      RunFor(std::chrono::milliseconds(6));
      if (observer->failure->anyByteSent) {
        ++sent;
      } else {
        ++unsent;
        BOOST_TEST(target.Received().empty());
      }
    }
  }
  BOOST_TEST(unsent > 0);
  BOOST_TEST(sent > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Responses, ClientFixture)

// Guards against a truncated or ambiguous response that is treated as complete.
BOOST_DATA_TEST_CASE_F(ClientFixture,
                       ABadResponseIsAFailure,
                       boost::unit_test::data::make(kBadResponses),
                       response)
{
  RespondToHeadsWith(response.bytes, true);
  const auto observer = Start(Get());
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  RunFor(std::chrono::milliseconds(10));
  BOOST_TEST(observer->ends == 0);
  BOOST_REQUIRE(observer->failures == 1);
  BOOST_TEST((observer->failure->kind == response.kind));
  BOOST_TEST(observer->failure->anyByteSent);
  BOOST_TEST(!observer->failure->reason.empty());
  BOOST_TEST(server.connections.size() == 1U);
  BOOST_TEST(WaitUntil([&] { return OpenConnections() == 0; }));
}

// Guards against a body that ends with a reset and is treated as complete.
BOOST_AUTO_TEST_CASE(ABodyUntilCloseEndsWithAnOrderlyClose)
{
  RespondToHeadsWith("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole", true);
  const auto observer = Start(Get());
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST(observer->ends == 1);
  BOOST_TEST(observer->body == "whole");
  BOOST_TEST((observer->head->framing == BodyFraming::UntilClose));
}

// Guards against complete responses that are rejected because their server does
// not announce that it closes the connection.
BOOST_AUTO_TEST_CASE(ABodyUntilCloseNeedsNoAnnouncement)
{
  RespondToHeadsWith("HTTP/1.1 200 OK\r\nX: y\r\n\r\nwhole", true);
  const auto observer = Start(Get());
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST(observer->ends == 1);
  BOOST_TEST(observer->body == "whole");
  BOOST_TEST(WaitUntil([&] { return OpenConnections() == 0; }));
}

// Guards against a request that is sent on a connection that its server is
// about to close.
BOOST_AUTO_TEST_CASE(AnIdleConnectionIsDroppedBeforeItsServerClosesIt)
{
  struct Case
  {
    const char* keepAlive;
    int connections;
  };
  for (const Case& each : { Case{ "timeout=10", 1 },
                            Case{ "max=5, timeout=10", 1 },
                            Case{ "timeout=1", 0 },
                            Case{ "timeout=0", 0 },
                            Case{ "timeout=soon", 1 } }) {
    BOOST_TEST_CONTEXT(each.keepAlive)
    {
      client = HttpClient::Create({});
      RespondToHeadsWith(
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: " +
        std::string(each.keepAlive) + "\r\n\r\n");
      const auto observer = Start(Get());
      BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
      BOOST_TEST(observer->ends == 1);
      BOOST_TEST(
        WaitUntil([&] { return OpenConnections() == each.connections; }));
    }
  }
}

BOOST_DATA_TEST_CASE(ABodyUntilCloseThatIsResetIsAFailure,
                     boost::unit_test::data::make({ "Connection: close\r\n",
                                                    "" }),
                     announcement)
{
  RespondToHeadsWith("HTTP/1.1 200 OK\r\n" + std::string(announcement) +
                     "\r\npart");
  const auto observer = Start(Get());
  BOOST_TEST(WaitUntil([&] { return observer->body == "part"; }));
  // Closing a socket with unread input, or with a linger time of 0, resets the
  // connection.
  QTcpSocket& socket = server.connections.at(0)->Socket();
  server.connections[0]->isReading = false;
  socket.setSocketOption(QAbstractSocket::KeepAliveOption, 1);
  const linger reset{ 1, 0 };
  ::setsockopt(static_cast<int>(socket.socketDescriptor()),
               SOL_SOCKET,
               SO_LINGER,
               &reset,
               sizeof reset);
  socket.abort();
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST(observer->failures == 1);
}

BOOST_AUTO_TEST_CASE(ResponsesWithoutABodyEndWithTheirHead)
{
  const auto expectEnd = [this](const char* aMethod, const char* aResponse) {
    RespondToHeadsWith(aResponse);
    server.connections.clear();
    client = HttpClient::Create({});
    HttpRequestHead head = Get();
    head.method = aMethod;
    const auto observer = Start(head);
    BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
    BOOST_TEST(observer->ends == 1);
    BOOST_TEST(observer->body.empty());
    BOOST_TEST(OpenConnections() == 1);
  };
  expectEnd("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  expectEnd("HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  expectEnd("GET", "HTTP/1.1 204 No Content\r\n\r\n");
  expectEnd("GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n");
  expectEnd("GET",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
            "Link: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
}

// Guards against the reuse of a connection on which a request body continues
// after its response.
BOOST_AUTO_TEST_CASE(AnEarlyResponseEndsTheExchangeAndTheConnection)
{
  RespondToHeadsWith(Ok("early"));
  const auto observer = Start(Post(1'000'000));
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST(observer->ends == 1);
  BOOST_TEST(observer->body == "early");
  BOOST_TEST(observer->requestsSent == 0);
  BOOST_TEST(OpenConnections() == 0);
  exchange->SendBody(std::string_view("late"));
  exchange->FinishBody();
  BOOST_TEST(exchange->AnyByteSent());
}

BOOST_AUTO_TEST_CASE(APausedResponseIsDeliveredAfterTheServerClosed)
{
  RespondToHeadsWith(Ok("whole"), true);
  auto observer = std::make_shared<RecordingObserver>();
  exchange = client->Start(server.Address(), Get(), {}, observer);
  exchange->PauseResponseBody();
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(!observer->IsOver());
  BOOST_TEST(observer->bodyBytes == 0U);
  const int eventsBefore = observer->events;
  exchange->ResumeResponseBody();
  BOOST_TEST(observer->events == eventsBefore);
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST(observer->ends == 1);
  BOOST_TEST(observer->body == "whole");
}

BOOST_AUTO_TEST_CASE(ACancelDuringTheResponseIsTheLastEvent)
{
  RespondToHeadsWith("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
  const auto observer = Start(Get());
  observer->onBody = [this](ByteView) { exchange->Cancel(); };
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST((observer->failure->kind == HttpFailureKind::Cancelled));
  BOOST_TEST(observer->body == "part");
  BOOST_TEST(WaitUntil([&] { return server.connections.at(0)->isClosed; }));
}

BOOST_AUTO_TEST_CASE(TheHeadIsSentAsGivenWithAHost)
{
  RespondToHeadsWith(kEmptyOk);
  HttpRequestHead head = Get("/x?y");
  head.fields.Add("X-A", "1");
  head.fields.Add("Connection", "close");
  const auto observer = Start(head);
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST(server.Received() ==
             "GET /x?y HTTP/1.1\r\nX-A: 1\r\nHost: 127.0.0.1:" +
               std::to_string(server.Address().port) + "\r\n\r\n");
}

// Guards against a body whose length differs from the announced one.
BOOST_AUTO_TEST_CASE(ABodyOfAnotherLengthFails)
{
  const auto longer = Start(Post(2));
  exchange->SendBody(std::string_view("long"));
  const auto shorter = Start(Post(9));
  exchange->SendBody(std::string_view("short"));
  exchange->FinishBody();
  BOOST_TEST(longer->events + shorter->events == 0);
  BOOST_TEST(WaitUntil([&] { return longer->IsOver() && shorter->IsOver(); }));
  BOOST_TEST(longer->failures == 1);
  BOOST_TEST(shorter->failures == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Connections, ClientFixture)

// Guards against a response that is delivered to another request.
BOOST_AUTO_TEST_CASE(BytesAfterAResponseEndTheConnection)
{
  RespondToHeadsWith(Ok("right") + Ok("crossed"));
  const auto first = Start(Get("/1"));
  BOOST_TEST(WaitUntil([&] { return first->IsOver(); }));
  BOOST_TEST(first->body == "right");
  BOOST_TEST(WaitUntil([&] { return OpenConnections() == 0; }));
  const auto second = Start(Get("/2"));
  BOOST_TEST(WaitUntil([&] { return second->IsOver(); }));
  BOOST_TEST(second->body == "right");
  BOOST_TEST(server.connections.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ALateSecondResponseIsNotDeliveredToTheNextRequest)
{
  RespondToHeadsWith(Ok("right"));
  const auto first = Start(Get("/1"));
  BOOST_TEST(WaitUntil([&] { return first->IsOver(); }));
  BOOST_TEST(OpenConnections() == 1);
  server.connections[0]->Send(Ok("late"));
  server.connections[0]->Socket().flush();
  const auto second = Start(Get("/2"));
  BOOST_TEST(WaitUntil([&] { return second->IsOver(); }));
  BOOST_TEST(second->body == "right");
  BOOST_TEST(server.connections.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AResponseBeforeTheRequestIsRefused)
{
  server.onAccepted = [](RawConnection& aConnection) {
    aConnection.Send(Ok("unsolicited"));
    aConnection.Socket().flush();
  };
  const auto first = Start(Get("/1"));
  BOOST_TEST(WaitUntil([&] { return first->IsOver(); }));
  if (first->ends == 1) {
    // The request was sent first, so the response cannot be distinguished from
    // its own.
    BOOST_TEST(first->body == "unsolicited");
  } else {
    BOOST_TEST((first->failure->kind == HttpFailureKind::Malformed));
  }
}

BOOST_AUTO_TEST_CASE(AConnectionIsReused)
{
  RespondToHeadsWith(kEmptyOk);
  for (int i = 0; i < 5; ++i) {
    const auto observer = Start(Get());
    BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
    BOOST_TEST(observer->ends == 1);
  }
  BOOST_TEST(server.connections.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AFreshConnectionIsOpenedOnRequest)
{
  RespondToHeadsWith(kEmptyOk);
  for (int i = 0; i < 3; ++i) {
    const auto observer =
      Start(Post(0), { true, std::chrono::milliseconds(1000) });
    BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  }
  BOOST_TEST(server.connections.size() == 3U);
}

BOOST_AUTO_TEST_CASE(AConnectionThatItsServerClosesIsNotReused)
{
  RespondToHeadsWith(
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  const auto observer = Start(Get());
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST(OpenConnections() == 0);
}

BOOST_AUTO_TEST_CASE(IdleConnectionsAreBoundedInNumberAndTime)
{
  HttpClientLimits limits;
  limits.idleConnections = 2;
  limits.idleTimeout = std::chrono::milliseconds(100);
  client = HttpClient::Create(limits);
  constexpr int kExchanges = 4;
  std::vector<std::shared_ptr<RecordingObserver>> observers;
  observers.reserve(kExchanges);
  for (int i = 0; i < kExchanges; ++i) {
    observers.push_back(Start(Get()));
  }
  BOOST_TEST(OpenConnections() == 4);
  BOOST_TEST(WaitUntil([&] { return server.connections.size() == 4; }));
  for (const auto& connection : server.connections) {
    connection->Send(kEmptyOk);
  }
  BOOST_TEST(WaitUntil([&] {
    return std::all_of(
      observers.begin(), observers.end(), [](const auto& aObserver) {
        return aObserver->IsOver();
      });
  }));
  BOOST_TEST(OpenConnections() == 2);
  BOOST_TEST(WaitUntil([&] { return OpenConnections() == 0; }));
}

// Guards against responses that reach the wrong exchange when exchanges run
// concurrently, and against failures of a request that is started inside the
// last event of the one before it.
BOOST_AUTO_TEST_CASE(ConcurrentExchangesGetTheirOwnResponses)
{
  ServerFixture whole;
  int left = 400;
  int wrong = 0;
  int over = 0;
  std::vector<std::shared_ptr<RecordingObserver>> observers;
  std::function<void()> startNext = [&] {
    const std::string target = "/" + std::to_string(--left);
    auto observer = std::make_shared<RecordingObserver>();
    observers.push_back(observer);
    RecordingObserver* const raw = observer.get();
    observer->onOver = [&, raw, target] {
      ++over;
      if (raw->ends != 1 || raw->body != target + target) {
        ++wrong;
      }
      if (left > 0) {
        startNext();
      }
    };
    HttpRequestHead head = Post(target.size());
    head.target = target;
    const auto running =
      client->Start({ "127.0.0.1", whole.server->Port() }, head, {}, observer);
    running->SendBody(target);
  };
  for (int i = 0; i < 8; ++i) {
    startNext();
  }
  BOOST_TEST(WaitUntil([&] { return over == 400; }));
  BOOST_TEST(wrong == 0);
  BOOST_TEST(client->OpenConnections({ "127.0.0.1", whole.server->Port() }) <=
             8);
}

// Guards against events to the observers of a destroyed client.
BOOST_AUTO_TEST_CASE(ADestroyedClientSendsNoEvents)
{
  const auto running = Start(Get());
  const auto cancelled = Start(Get());
  exchange->Cancel();
  client.reset();
  RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(running->events == 0);
  BOOST_TEST(cancelled->events == 0);
  BOOST_TEST(running.use_count() == 1);
  exchange->SendBody(std::string_view("late"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
