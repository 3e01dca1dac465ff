#pragma once

#include "http/HttpServerExchange.h"

namespace filbertbeam {

class HttpServerConnection;

// The exchange that runs on a connection. Once it is closed, its calls have no
// effect.
class TcpServerExchange final : public HttpServerExchange
{
public:
  TcpServerExchange(std::weak_ptr<HttpServerConnection> aConnection,
                    HttpRequestHead aRequest,
                    Endpoint aPeer);

  const HttpRequestHead& Request() const override { return request_; }
  const Endpoint& Peer() const override { return peer_; }
  void PauseRequestBody() override;
  void ResumeRequestBody() override;
  void SendHead(const HttpResponseHead& aHead) override;
  void SendBody(ByteView aBytes) override;
  void Finish() override;
  void Abort() override;
  std::size_t UnsentBytes() const override;

  // Separates the exchange from its connection.
  void Detach() { connection_.reset(); }

private:
  std::weak_ptr<HttpServerConnection> connection_;
  HttpRequestHead request_;
  Endpoint peer_;
};

} // namespace filbertbeam
