#pragma once

#include "http/HttpServerExchange.h"

namespace filbertbeam {

class HttpServerConnection;

// One exchange of a connection, with what the connection keeps about it. Once
// it is closed, its calls have no effect.
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

  // The connection's side of the exchange.
  struct ExchangeState
  {
    std::shared_ptr<HttpRequestObserver> observer;
    bool isRequestEnded = false;
    bool isBodyPaused = false;
    bool isContinueDue = false;
    bool isHeadSent = false;
    bool isFinished = false;
    bool isBodiless = false;
    // What the request says; then, whether the connection stays open.
    bool keepsAlive = true;
    BodyFraming framing = BodyFraming::None;
    std::uint64_t bodyBytesLeft = 0;
    // Response bytes that wait for the responses before it.
    std::string pendingResponse;
  };
  ExchangeState& State() { return state_; }
  const ExchangeState& State() const { return state_; }

private:
  std::weak_ptr<HttpServerConnection> connection_;
  HttpRequestHead request_;
  Endpoint peer_;
  ExchangeState state_;
};

} // namespace filbertbeam
