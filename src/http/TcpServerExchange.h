#pragma once

#include "http/HttpServerExchange.h"

namespace filbertbeam {

class HttpServerConnection;

// Server exchange that runs on an HttpServerConnection, with the state that the
// connection keeps for it. Calls have no effect after the exchange has ended.
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

  // Detaches the exchange from its connection.
  void Detach() { connection_.reset(); }

  // State of the exchange that the connection maintains.
  struct ExchangeState
  {
    std::shared_ptr<HttpRequestObserver> observer;
    bool isRequestEnded = false;
    bool isBodyPaused = false;
    bool isContinueDue = false;
    // The application may abort the response after a part of it was sent.
    bool mayBeAborted = false;
    bool isHeadSent = false;
    bool isFinished = false;
    bool isBodiless = false;
    // Whether the request allows the connection to stay open; after the
    // response head is sent, whether it does stay open.
    bool keepsAlive = true;
    BodyFraming framing = BodyFraming::None;
    std::uint64_t bodyBytesLeft = 0;
    // Response bytes that wait until the preceding responses are sent.
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
