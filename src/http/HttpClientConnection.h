#pragma once

#include "http/HttpClient.h"
#include "http/HttpInputBuffer.h"
#include "http/HttpResponseParser.h"
#include "http/SocketDuplicate.h"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <functional>

namespace filbertbeam {

class TcpClientExchange;

// One connection to a server; runs one exchange at a time.
class HttpClientConnection final
  : public std::enable_shared_from_this<HttpClientConnection>
{
public:
  // Decide about the connection's place in the client.
  struct Handlers
  {
    // Returns true when the connection may wait for the next exchange.
    std::function<bool(HttpClientConnection&)> onIdle;
    std::function<void(HttpClientConnection&)> onClosed;
  };

  // aContext is the context of the events; it outlives the connection's use.
  HttpClientConnection(const Endpoint& aServer,
                       const HttpClientLimits& aLimits,
                       QObject& aContext,
                       Handlers aHandlers);
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  const Endpoint& Server() const { return server_; }

  void Connect(std::chrono::milliseconds aTimeout);
  // True when an idle connection has neither input nor an end.
  bool IsUsable() const;
  // Starts an exchange on a new or idle connection. aHeadBytes is the whole
  // request head.
  std::shared_ptr<TcpClientExchange> Begin(
    const HttpRequestHead& aHead,
    std::string_view aHeadBytes,
    std::shared_ptr<HttpResponseObserver> aObserver);
  // Ends the exchange, if any, without an event, and closes.
  void Discard();

  // The calls of the exchange.
  void SendBody(ByteView aBytes);
  void FinishBody();
  void PauseResponseBody();
  void ResumeResponseBody();
  void Cancel();
  bool AnyByteSent() const;
  std::size_t UnsentBytes() const;

private:
  enum class State
  {
    Connecting,
    Connected,
    // The peer closed; bytes that arrived before may be left.
    PeerClosed,
    Closed,
  };

  void OnConnected();
  void EnableTcpKeepAlive();
  void OnBytesWritten(qint64 aBytes);
  void OnReadyRead();
  void OnError();
  void OnPeerClosed();
  void OnTimeout();
  void Process();
  bool Step();
  void Write(std::string_view aBytes);
  void CompleteExchange();
  void SkipResponse();
  void Fail(HttpFailureKind aKind, std::string aReason);
  void Close();

  Endpoint server_;
  const HttpClientLimits& limits_;
  QObject& context_;
  Handlers handlers_;
  // Receives the signals; they are disconnected with the connection.
  QObject receiver_;
  QTcpSocket* socket_;
  QTimer timer_;
  State state_ = State::Connecting;
  // Present while the end of the connection ends the body.
  std::unique_ptr<SocketDuplicate> closeDetector_;
  // The peer ended the connection in order, not by a reset.
  bool isOrderlyClose_ = false;
  std::string closeReason_;
  bool isProcessing_ = false;

  std::shared_ptr<TcpClientExchange> exchange_;
  std::shared_ptr<HttpResponseObserver> observer_;
  // Request bytes that wait for the connection to open.
  std::string pendingRequest_;
  std::uint64_t queuedBytes_ = 0;
  std::uint64_t sentBytes_ = 0;
  BodyFraming framing_ = BodyFraming::None;
  std::uint64_t bodyBytesLeft_ = 0;
  bool isRequestComplete_ = false;
  bool isRequestSent_ = false;
  bool isAboveHighWatermark_ = false;
  bool isPaused_ = false;
  bool isHeadDelivered_ = false;
  // The response under way belongs to an earlier request.
  bool isSkipping_ = false;
  // Responses passed over since the request was sent.
  int skippedResponses_ = 0;
  std::string method_;

  HttpInputBuffer input_;
  HttpResponseParser parser_;
};

} // namespace filbertbeam
