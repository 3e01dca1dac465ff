#include "store/HttpObjectStore.h"
#include "store/tests/support/HttpStoreFixture.h"
#include "store/tests/support/StoreCalls.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using std::chrono::milliseconds;

namespace {

// A server that accepts connections, remembers what it read, and sends fixed
// bytes to each.
class FixedServer
{
public:
  // With aCloses, the connection is closed after the bytes.
  FixedServer(std::string aResponse, bool aCloses)
    : response_(std::move(aResponse))
    , closes_(aCloses)
  {
    BOOST_REQUIRE(server_.listen(QHostAddress::LocalHost));
    QObject::connect(
      &server_, &QTcpServer::newConnection, &server_, [this] { Accept(); });
  }

  Endpoint At() const { return { "127.0.0.1", server_.serverPort() }; }
  int Requests() const { return requests_; }

private:
  void Accept()
  {
    QTcpSocket* const socket = server_.nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
      if (!socket->readAll().contains("\r\n\r\n")) {
        return;
      }
      ++requests_;
      socket->write(response_.data(), static_cast<qint64>(response_.size()));
      if (closes_) {
        socket->disconnectFromHost();
      }
    });
  }

  std::string response_;
  bool closes_;
  int requests_ = 0;
  QTcpServer server_;
};

// An endpoint where nothing listens.
Endpoint
ClosedPort()
{
  QTcpServer server;
  BOOST_REQUIRE(server.listen(QHostAddress::LocalHost));
  return { "127.0.0.1", server.serverPort() };
}

std::unique_ptr<HttpObjectStore>
Connect(std::vector<Endpoint> aEndpoints)
{
  PlatformClientLimits limits;
  limits.callTimeout = milliseconds(100);
  limits.responseBytes = 2 * kMaxObjectBytes;
  std::string reason;
  auto store = HttpObjectStore::Create(std::move(aEndpoints), limits, reason);
  BOOST_REQUIRE_MESSAGE(store != nullptr, reason);
  return store;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpStore)

// Guards against a daemon that starts without a store it could ever reach.
BOOST_AUTO_TEST_CASE(FaultyEndpointsAreRefusedWithAReason)
{
  for (const std::vector<Endpoint>& endpoints :
       { std::vector<Endpoint>{},
         std::vector<Endpoint>{ { "store.example", 80 } },
         std::vector<Endpoint>{ { "127.0.0.1", 80 }, { "127.0.0.1", 0 } } }) {
    std::string reason;
    BOOST_TEST(HttpObjectStore::Create(endpoints, {}, reason) == nullptr);
    BOOST_TEST(!reason.empty());
  }
}

// Guards against a response that proves nothing but is taken for a success, a
// conflict or a missing object: a claim could be granted or lost by it.
BOOST_AUTO_TEST_CASE(AnUnusableResponseIsUnavailableAndNotRepeated)
{
  const std::string responses[] = {
    "",
    "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 5\r\n\r\nab",
    "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 201 Created\r\nETag: W/\"1\"\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 201 Created\r\nETag: \"0\"\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 201 Created\r\nETag: \"1x\"\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\nup to the end",
    "HTTP/1.0 200 OK\r\nETag: \"1\"\r\n\r\nup to the end",
    "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
    "no HTTP at all\r\n\r\n",
  };
  for (const std::string& response : responses) {
    BOOST_TEST_CONTEXT("response " << response)
    {
      FixedServer server(response, true);
      const auto store = Connect({ server.At() });
      const auto created = AwaitCreate(*store, "key", "value");
      BOOST_TEST(created.error == StoreError::Unavailable);
      BOOST_TEST(!created.isUnsent);
      BOOST_TEST(!created.reason.empty());
      RunFor(milliseconds(20));
      BOOST_TEST(server.Requests() == 1);
    }
  }
}

// Guards against a listing that is cut or malformed but taken for complete.
BOOST_AUTO_TEST_CASE(AMalformedListingIsUnavailable)
{
  FixedServer server("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"keys\":[",
                     true);
  BOOST_TEST(AwaitList(*Connect({ server.At() }), "").error ==
             StoreError::Unavailable);
}

// Guards against a value without end that fills the memory.
BOOST_AUTO_TEST_CASE(AResponseThatIsTooLargeIsGivenUp)
{
  FixedServer server("HTTP/1.1 200 OK\r\nETag: \"1\"\r\n"
                     "Content-Length: 3000000\r\n\r\n" +
                       std::string(3 * kMaxObjectBytes, 'x'),
                     false);
  BOOST_TEST(AwaitGet(*Connect({ server.At() }), "key").error ==
             StoreError::Unavailable);
}

// Guards against a call that waits for ever on a silent server.
BOOST_AUTO_TEST_CASE(ASilentServerIsUnavailableAfterTheTimeLimit)
{
  FixedServer server("", false);
  const auto store = Connect({ server.At() });
  QElapsedTimer elapsed;
  elapsed.start();
  const auto created = AwaitCreate(*store, "key", "value");
  BOOST_TEST(created.error == StoreError::Unavailable);
  BOOST_TEST(!created.isUnsent);
  BOOST_TEST(elapsed.elapsed() >= 100);
  BOOST_TEST(elapsed.elapsed() < 1'000);
  // A watch gets its own waiting time on top.
  elapsed.restart();
  BOOST_TEST(AwaitWatch(*store, "key", 1, milliseconds(150)).error ==
             StoreError::Unavailable);
  BOOST_TEST(elapsed.elapsed() >= 250);
}

// Guards against background work for writes that certainly had no effect.
BOOST_AUTO_TEST_CASE(ARefusedConnectionIsUnsent)
{
  const auto store = Connect({ ClosedPort() });
  const auto created = AwaitCreate(*store, "key", "value");
  BOOST_TEST(created.error == StoreError::Unavailable);
  BOOST_TEST(created.isUnsent);
}

// Guards against a client that stays with a dead endpoint, and against one
// that repeats a write at the next endpoint by itself.
BOOST_AUTO_TEST_CASE(TheNextCallMovesOnAfterAFailure)
{
  HttpStoreFixture fixture;
  FixedServer failing("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", true);
  const auto store = Connect(
    { ClosedPort(), failing.At(), { "127.0.0.1", fixture.standIn->Port() } });
  BOOST_TEST(AwaitCreate(*store, "key", "").error == StoreError::Unavailable);
  BOOST_TEST(AwaitCreate(*store, "key", "").error == StoreError::Unavailable);
  BOOST_TEST(failing.Requests() == 1);
  BOOST_TEST(fixture.Counts().Writes() == 0U);
  BOOST_TEST(AwaitCreate(*store, "key", "").error == StoreError::None);
  BOOST_TEST(AwaitCreate(*store, "key", "").error == StoreError::Conflict);
  BOOST_TEST(fixture.Counts().Writes() == 2U);
}

// Guards against calls that fail together and skip the only good endpoint.
BOOST_AUTO_TEST_CASE(CallsThatFailTogetherMoveOnOnce)
{
  HttpStoreFixture fixture;
  const auto store =
    Connect({ ClosedPort(), { "127.0.0.1", fixture.standIn->Port() } });
  int answers = 0;
  for (int call = 0; call < 2; ++call) {
    store->Get("key", [&](const auto&) { ++answers; });
  }
  BOOST_REQUIRE(RunUntil([&] { return answers == 2; }));
  BOOST_TEST(AwaitGet(*store, "key").error == StoreError::NotFound);
}

// Guards against an answer that reaches a caller after its store was
// destroyed, or a store that is destroyed by the answer itself.
BOOST_AUTO_TEST_CASE(ADestroyedStoreAnswersNothing)
{
  HttpStoreFixture fixture;
  bool isAnswered = false;
  fixture.store->Get("key", [&](const auto&) { isAnswered = true; });
  fixture.store->Watch(
    "key", 0, milliseconds(10), [&](const auto&) { isAnswered = true; });
  fixture.store->Get("a b", [&](const auto&) { isAnswered = true; });
  fixture.store.reset();
  RunFor(milliseconds(50));
  BOOST_TEST(!isAnswered);

  FixedServer silent("", false);
  auto store = Connect({ silent.At() });
  store->Get("key", [&](const auto&) {
    isAnswered = true;
    store.reset();
  });
  BOOST_REQUIRE(RunUntil([&] { return isAnswered; }));
  RunFor(milliseconds(20));
}

BOOST_AUTO_TEST_SUITE_END()
