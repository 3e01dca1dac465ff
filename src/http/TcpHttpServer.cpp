#include "http/TcpHttpServer.h"

#include "http/HttpHeadWriter.h"
#include "http/HttpServerConnection.h"
#include "http/ProblemDetails.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QTcpSocket>

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

constexpr int kListenBacklog = 1024;
// Bounds of the interval at which time limits are checked; a limit may be
// exceeded by one interval, and by another after a suspension of the host.
constexpr std::chrono::milliseconds kMinCheckInterval{ 5 };
constexpr std::chrono::milliseconds kMaxCheckInterval{ 200 };
// After this number of intervals without a check, the host was suspended or
// busy.
constexpr int kLateChecks = 3;

std::string
OverloadResponse()
{
  ProblemDetails problem;
  problem.status = 503;
  problem.detail = "the host has too many connections";
  problem.retryAfter = std::chrono::seconds(1);
  HttpResponseHead head = ProblemHead(problem);
  problem.title = head.reason;
  const std::string body = ProblemBody(problem);
  head.framing = BodyFraming::Length;
  head.contentLength = body.size();
  std::string reason;
  return WriteResponseHead(head, { false, false }, reason).value_or("") + body;
}

} // namespace

TcpHttpServer::TcpHttpServer(const HttpServerLimits& aLimits,
                             HttpApplication& aApplication)
  : limits_(aLimits)
  , application_(aApplication)
  , lastCheck_(std::chrono::steady_clock::now())
{
  server_.setListenBacklogSize(kListenBacklog);
  server_.setMaxPendingConnections(kListenBacklog);
  QObject::connect(
    &server_, &QTcpServer::newConnection, &server_, [this] { Accept(); });
  QObject::connect(&server_, &QTcpServer::acceptError, &server_, [this] {
    isAcceptingPaused_ = true;
  });
  SetCheckInterval();
  QObject::connect(
    &timer_, &QTimer::timeout, &server_, [this] { CheckTimeLimits(); });
  timer_.start();
}

void
TcpHttpServer::SetCheckInterval()
{
  const auto shortest =
    std::min({ limits_.headTimeout, limits_.bodyGrace, limits_.idleTimeout });
  timer_.setInterval(
    std::clamp(shortest / 8, kMinCheckInterval, kMaxCheckInterval));
}

void
TcpHttpServer::SetLimits(const HttpServerLimits& aLimits)
{
  limits_ = aLimits;
  SetCheckInterval();
}

void
TcpHttpServer::CloseAfterResponses()
{
  isClosingAfterResponses_ = true;
  for (const auto& connection : Connections()) {
    connection->CloseAfterResponse();
  }
}

TcpHttpServer::~TcpHttpServer()
{
  server_.close();
  for (const auto& connection : Connections()) {
    connection->Shutdown();
  }
}

bool
TcpHttpServer::Listen(const Endpoint& aEndpoint)
{
  const QHostAddress address(QString::fromStdString(aEndpoint.address));
  if (address.isNull()) {
    lastReason_ = "not an IP address: " + aEndpoint.address;
    return false;
  }
  // Otherwise Qt first queries the system for a proxy, in a separate thread.
  server_.setProxy(QNetworkProxy::NoProxy);
  if (!server_.listen(address, aEndpoint.port)) {
    lastReason_ = server_.errorString().toStdString();
    return false;
  }
  return true;
}

std::uint16_t
TcpHttpServer::Port() const
{
  return server_.serverPort();
}

void
TcpHttpServer::StopAccepting()
{
  // Connections that the kernel has already accepted are still served.
  Accept();
  server_.close();
  for (const auto& connection : Connections()) {
    connection->StopAfterExchange();
  }
}

int
TcpHttpServer::RunningExchanges() const
{
  return static_cast<int>(std::count_if(
    connections_.begin(), connections_.end(), [](const auto& aItem) {
      return aItem.second->HasExchange();
    }));
}

int
TcpHttpServer::OpenConnections() const
{
  return static_cast<int>(connections_.size());
}

void
TcpHttpServer::Accept()
{
  while (QTcpSocket* const socket = server_.nextPendingConnection()) {
    // Otherwise the server object would delete the socket before its connection
    // ends.
    socket->setParent(nullptr);
    if (OpenConnections() >= limits_.connections) {
      const std::string response = OverloadResponse();
      QObject::connect(
        socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
      socket->write(response.data(), static_cast<qint64>(response.size()));
      socket->disconnectFromHost();
      continue;
    }
    auto connection = std::make_shared<HttpServerConnection>(
      socket,
      limits_,
      application_,
      context_,
      [this](HttpServerConnection& aClosed) { connections_.erase(&aClosed); });
    connections_.emplace(connection.get(), connection);
    if (isClosingAfterResponses_) {
      connection->CloseAfterResponse();
    }
    connection->Start();
  }
}

void
TcpHttpServer::CheckTimeLimits()
{
  // Qt stops accepting when accept fails, for example because no file
  // descriptor is left, and does not resume by itself.
  if (std::exchange(isAcceptingPaused_, false)) {
    server_.resumeAccepting();
  }
  const Instant now = std::chrono::steady_clock::now();
  if (IsCheckAfterSuspension(now)) {
    return;
  }
  for (const auto& connection : Connections()) {
    connection->CheckTimeLimits(now);
  }
}

bool
TcpHttpServer::IsCheckAfterSuspension(Instant aNow)
{
  // The event loop may call timers before it reads what has arrived while the
  // host was suspended. Checks of a host that is late every time are not all
  // skipped.
  const bool isLate =
    aNow - lastCheck_ > kLateChecks * timer_.intervalAsDuration();
  lastCheck_ = aNow;
  isCheckSkipped_ = isLate && !isCheckSkipped_;
  return isCheckSkipped_;
}

std::vector<std::shared_ptr<HttpServerConnection>>
TcpHttpServer::Connections() const
{
  std::vector<std::shared_ptr<HttpServerConnection>> connections;
  connections.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) {
    connections.push_back(connection);
  }
  return connections;
}

} // namespace filbertbeam
