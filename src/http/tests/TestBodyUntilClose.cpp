#include "http/SocketDuplicate.h"
#include "http/tests/support/EventLoop.h"
#include "http/tests/support/RawPeers.h"
#include "http/tests/support/RecordingObserver.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/socket.h>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

constexpr std::chrono::milliseconds kPause{ 50 };

void
ShutDownSending(RawConnection& aConnection)
{
  BOOST_TEST(
    WaitUntil([&] { return aConnection.Socket().bytesToWrite() == 0; }));
  ::shutdown(static_cast<int>(aConnection.Socket().socketDescriptor()),
             SHUT_WR);
}

void
Reset(RawConnection& aConnection)
{
  const linger reset{ 1, 0 };
  ::setsockopt(static_cast<int>(aConnection.Socket().socketDescriptor()),
               SOL_SOCKET,
               SO_LINGER,
               &reset,
               sizeof reset);
  aConnection.Socket().abort();
}

// A connection that Qt reads slowly, and its duplicate.
struct DuplicateFixture
{
  DuplicateFixture()
  {
    BOOST_TEST_REQUIRE(WaitUntil([&] {
      return connection.Socket().state() == QTcpSocket::ConnectedState &&
             !server.connections.empty();
    }));
    duplicate = std::make_unique<SocketDuplicate>(connection.Socket());
    connection.isReading = false;
  }

  RawConnection& Peer() { return *server.connections.at(0); }

  static constexpr qint64 kReadBufferBytes = 4;

  RawServer server;
  RawConnection connection{ server.Address().port, kReadBufferBytes };
  std::unique_ptr<SocketDuplicate> duplicate;
};

// A request whose response has no length.
struct BodyUntilCloseFixture
{
  void Begin(std::size_t aRequestBytes = 0)
  {
    HttpRequestHead head;
    head.method = aRequestBytes > 0 ? "POST" : "GET";
    head.target = "/";
    head.framing = aRequestBytes > 0 ? BodyFraming::Length : BodyFraming::None;
    head.contentLength = aRequestBytes;
    exchange = client->Start(server.Address(), head, {}, observer);
    exchange->SendBody(std::string(aRequestBytes, 'r'));
    BOOST_TEST_REQUIRE(WaitUntil([&] {
      return !server.connections.empty() &&
             !server.connections.at(0)->received.empty();
    }));
    server.connections.at(0)->isReading = false;
    server.connections.at(0)->Send("HTTP/1.1 200 OK\r\n\r\n");
    BOOST_TEST_REQUIRE(WaitUntil([&] { return observer->head.has_value(); }));
  }

  RawConnection& Peer() { return *server.connections.at(0); }

  RawServer server;
  std::unique_ptr<HttpClient> client = HttpClient::Create({});
  std::shared_ptr<RecordingObserver> observer =
    std::make_shared<RecordingObserver>();
  std::shared_ptr<HttpClientExchange> exchange;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ADuplicateOfASocket, DuplicateFixture)

BOOST_AUTO_TEST_CASE(StatesNoOrderlyCloseWhileTheConnectionIsOpen)
{
  BOOST_TEST(!duplicate->HasOrderlyClose());
}

BOOST_AUTO_TEST_CASE(StatesAnOrderlyClose)
{
  ShutDownSending(Peer());
  BOOST_TEST(WaitUntil([&] { return duplicate->HasOrderlyClose(); }));
}

// Guards against the loss of bytes that Qt has not read.
BOOST_AUTO_TEST_CASE(StatesNoOrderlyCloseWhileBytesAreUnread)
{
  Peer().Send("more than the read buffer holds");
  ShutDownSending(Peer());
  RunFor(kPause);
  BOOST_TEST(!duplicate->HasOrderlyClose());
  connection.isReading = true;
  connection.received += connection.Socket().readAll().toStdString();
  BOOST_TEST(WaitUntil([&] { return connection.isClosed; }));
  BOOST_TEST(connection.received == "more than the read buffer holds");
  BOOST_TEST(duplicate->HasOrderlyClose());
}

BOOST_AUTO_TEST_CASE(StatesNoOrderlyCloseAfterAReset)
{
  Reset(Peer());
  BOOST_TEST(WaitUntil([&] { return connection.isClosed; }));
  BOOST_TEST(!duplicate->HasOrderlyClose());
}

BOOST_AUTO_TEST_CASE(StatesNoOrderlyCloseIfAResetFollowsIt)
{
  Peer().Send("more than the read buffer holds");
  ShutDownSending(Peer());
  RunFor(kPause);
  Reset(Peer());
  RunFor(kPause);
  BOOST_TEST(!duplicate->HasOrderlyClose());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ABodyThatEndsWithItsConnection, BodyUntilCloseFixture)

// More bytes than the buffers of Qt and of the client hold.
constexpr std::size_t kLargeBody = 400'000;

BOOST_AUTO_TEST_CASE(IsWholeIfItsReaderIsPausedBeyondTheClose)
{
  Begin();
  exchange->PauseResponseBody();
  Peer().Send(std::string(kLargeBody, 'x'));
  Peer().Close();
  RunFor(kPause);
  BOOST_TEST(!observer->IsOver());
  exchange->ResumeResponseBody();
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST(observer->ends == 1);
  BOOST_TEST(observer->bodyBytes == kLargeBody);
}

// Guards against a truncated body that looks complete: the kernel discards what
// the paused reader has not read.
BOOST_DATA_TEST_CASE_F(BodyUntilCloseFixture,
                       IsNoneIfItIsResetWhileItsReaderIsPaused,
                       boost::unit_test::data::make({ 1, 400'000 }),
                       bytes)
{
  Begin();
  exchange->PauseResponseBody();
  Peer().Send(std::string(bytes, 'x'));
  RunFor(kPause);
  Reset(Peer());
  RunFor(kPause);
  exchange->ResumeResponseBody();
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST(observer->failures == 1);
  BOOST_TEST(observer->ends == 0);
}

// As above: the connection ends with an error of the client's own write.
BOOST_AUTO_TEST_CASE(IsNoneIfItsConnectionEndsWhileTheRequestIsSent)
{
  constexpr std::size_t kRequestBytes = 16 * 1024 * 1024;
  server.onAccepted = [](RawConnection& aConnection) {
    aConnection.Socket().setReadBufferSize(1);
  };
  Begin(kRequestBytes);
  exchange->PauseResponseBody();
  Peer().Send(std::string(kLargeBody, 'x'));
  RunFor(kPause);
  // Unread input makes this a reset.
  Peer().Socket().abort();
  RunFor(kPause);
  exchange->ResumeResponseBody();
  BOOST_TEST(WaitUntil([&] { return observer->IsOver(); }));
  BOOST_TEST(observer->failures == 1);
  BOOST_TEST(observer->ends == 0);
}

BOOST_AUTO_TEST_SUITE_END()
