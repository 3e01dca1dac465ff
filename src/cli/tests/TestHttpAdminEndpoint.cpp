#include "cli/HttpAdminEndpoint.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace filbertbeam;

namespace {

// Responds to every request with the same bytes and closes the connection.
struct RawServer
{
  explicit RawServer(QByteArray aResponse)
    : response(std::move(aResponse))
  {
    BOOST_TEST_REQUIRE(server.listen(QHostAddress::LocalHost));
    QObject::connect(&server, &QTcpServer::newConnection, &server, [this] {
      QTcpSocket* socket = server.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        request += socket->readAll();
        if (request.endsWith("\r\n\r\n")) {
          socket->write(response);
          socket->disconnectFromHost();
        }
      });
    });
  }

  std::string Address() const
  {
    return fmt::format("127.0.0.1:{}", server.serverPort());
  }

  QTcpServer server;
  QByteArray response;
  QByteArray request;
};

// Returns the address of a port on which nothing listens.
std::string
ClosedAddress()
{
  const RawServer server("");
  return server.Address();
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdminEndpointOverHttp)

BOOST_AUTO_TEST_CASE(SendsTheTokenAndReturnsTheBody)
{
  RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  HttpAdminEndpoint endpoint({ server.Address() }, "the token");
  const AdminEndpoint::Response response =
    endpoint.Get("/explain?kind=customer&name=a%2Fb");
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.body.toStdString() == "{}");
  BOOST_TEST(server.request.startsWith(
    "GET /explain?kind=customer&name=a%2Fb HTTP/1.1\r\n"));
  BOOST_TEST(
    server.request.contains("\r\nAuthorization: Bearer the token\r\n"));
}

// Guards against a tool that fails while one host is down.
BOOST_AUTO_TEST_CASE(TriesTheNextDaemonWhenOneIsUnreachable)
{
  RawServer server("HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\n\r\n");
  HttpAdminEndpoint endpoint({ ClosedAddress(), server.Address() }, "t");
  BOOST_TEST(endpoint.Get("/status").status == 401);
  HttpAdminEndpoint none({ ClosedAddress() }, "t");
  const AdminEndpoint::Response response = none.Get("/status");
  BOOST_TEST(response.status == 0);
  BOOST_TEST(!response.reason.empty());
}

// Guards against a partial status that is shown as complete.
BOOST_AUTO_TEST_CASE(RejectsATruncatedResponse)
{
  RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{}");
  HttpAdminEndpoint endpoint({ server.Address() }, "t");
  BOOST_TEST(endpoint.Get("/status").status == 0);
}

// Guards against a token that is sent to the target of a redirect.
BOOST_AUTO_TEST_CASE(FollowsNoRedirect)
{
  RawServer other("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  RawServer server(QByteArray("HTTP/1.1 302 Found\r\nLocation: http://") +
                   QByteArray::fromStdString(other.Address()) +
                   "/\r\nContent-Length: 0\r\n\r\n");
  HttpAdminEndpoint endpoint({ server.Address() }, "t");
  BOOST_TEST(endpoint.Get("/status").status != 200);
  BOOST_TEST(other.request.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
