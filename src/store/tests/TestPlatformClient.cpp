#include "http/tests/support/EventLoop.h"
#include "store/PlatformClient.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

// Answers the first request of every connection with its path and is silent
// from then on. Requests for /wait get no answer until the connection is cut.
class SilentAfterOne
{
public:
  SilentAfterOne()
  {
    BOOST_REQUIRE(server_.listen(QHostAddress::LocalHost));
    QObject::connect(
      &server_, &QTcpServer::newConnection, &server_, [this] { Accept(); });
  }

  Endpoint At() const { return { "127.0.0.1", server_.serverPort() }; }
  int Waiting() const { return waiting_ == nullptr ? 0 : 1; }
  void CutWaiting() { waiting_->abort(); }

private:
  void Accept()
  {
    QTcpSocket* const socket = server_.nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
      const QByteArray request = socket->readAll();
      if (request.startsWith("GET /wait")) {
        waiting_ = socket;
      } else if (requests_[socket]++ == 0) {
        socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      }
    });
  }

  QTcpServer server_;
  QTcpSocket* waiting_ = nullptr;
  std::map<QTcpSocket*, int> requests_;
};

struct ClientFixture
{
  void Call(const char* aTarget)
  {
    HttpRequestHead head;
    head.method = "GET";
    head.target = aTarget;
    reply.reset();
    client.Call(std::move(head), "", 0ms, [this](const PlatformReply& aReply) {
      reply = aReply;
    });
  }

  SilentAfterOne server;
  PlatformClient client{ { server.At() }, {} };
  std::optional<PlatformReply> reply;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallsOfThePlatform, ClientFixture)

// Guards against calls on connections that broke together with another one:
// the platform cut a waiting watch with a reset and an idle connection
// silently, and the next watch, sent on the latter, heard nothing for seconds.
BOOST_AUTO_TEST_CASE(UseNoIdleConnectionFromBeforeAFailure)
{
  Call("/first");
  BOOST_REQUIRE(WaitUntil([&] { return reply.has_value(); }));
  BOOST_TEST(reply->status == 200);
  // The connection of /first is idle and has to be in use for a second one.
  HttpRequestHead head;
  head.method = "GET";
  head.target = "/wait";
  std::optional<PlatformReply> cut;
  client.Call(
    head, "", 10s, [&](const PlatformReply& aReply) { cut = aReply; });
  BOOST_REQUIRE(WaitUntil([&] { return server.Waiting() == 1; }));
  Call("/second");
  BOOST_REQUIRE(WaitUntil([&] { return reply.has_value(); }));
  BOOST_TEST(reply->status == 200);
  server.CutWaiting();
  BOOST_REQUIRE(WaitUntil([&] { return cut.has_value(); }));
  BOOST_TEST(cut->status == 0);
  Call("/third");
  BOOST_TEST(WaitUntil([&] { return reply.has_value(); }, 1s));
  BOOST_TEST((reply && reply->status == 200));
}

BOOST_AUTO_TEST_SUITE_END()
