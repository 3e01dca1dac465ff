#pragma once

#include "base/Clock.h"
#include "http/HttpServer.h"

#include <QTcpServer>
#include <QTimer>

#include <unordered_map>

namespace filbertbeam {

class HttpServerConnection;

// Implementation of HttpServer with QTcpServer.
class TcpHttpServer final : public HttpServer
{
public:
  TcpHttpServer(const HttpServerLimits& aLimits, HttpApplication& aApplication);
  ~TcpHttpServer() override;
  TcpHttpServer(const TcpHttpServer&) = delete;
  TcpHttpServer& operator=(const TcpHttpServer&) = delete;

  bool Listen(const Endpoint& aEndpoint);
  const std::string& LastReason() const { return lastReason_; }

  std::uint16_t Port() const override;
  void SetLimits(const HttpServerLimits& aLimits) override;
  void CloseAfterResponses() override;
  void StopAccepting() override;
  int RunningExchanges() const override;
  int OpenConnections() const override;

private:
  void Accept();
  void CheckTimeLimits();
  // True once after a suspension of the host: its input is read before the time
  // limits are applied.
  bool IsCheckAfterSuspension(Instant aNow);
  void SetCheckInterval();
  std::vector<std::shared_ptr<HttpServerConnection>> Connections() const;

  HttpServerLimits limits_;
  HttpApplication& application_;
  // Context object of the queued calls of the connections.
  QObject context_;
  QTcpServer server_;
  // Accepting connections failed; the next check of the time limits resumes it.
  bool isAcceptingPaused_ = false;
  bool isClosingAfterResponses_ = false;
  QTimer timer_;
  Instant lastCheck_;
  bool isCheckSkipped_ = false;
  std::unordered_map<HttpServerConnection*,
                     std::shared_ptr<HttpServerConnection>>
    connections_;
  std::string lastReason_;
};

} // namespace filbertbeam
