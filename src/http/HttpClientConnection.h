#pragma once

#include "http/HttpClient.h"
#include "http/HttpInputBuffer.h"
#include "http/HttpResponseParser.h"
#include "http/RequestProgress.h"
#include "http/SocketDuplicate.h"
#include "http/StrayResponseDetector.h"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <functional>
#include <vector>

namespace filbertbeam {

class TcpClientExchange;

// One connection to a server that carries one exchange at a time.
class HttpClientConnection final
  : public std::enable_shared_from_this<HttpClientConnection>
{
public:
  // Callbacks by which the client manages its pool of connections.
  struct Handlers
  {
    // Returns true if the connection is kept for another exchange.
    std::function<bool(HttpClientConnection&)> onIdle;
    std::function<void(HttpClientConnection&)> onClosed;
    std::function<void(const StrayBytes&)> onStrayBytes;
  };

  // aNumber identifies the connection within its client. aContext is the
  // context object of queued events; it has to outlive every use of the
  // connection.
  HttpClientConnection(std::uint64_t aNumber,
                       const Endpoint& aServer,
                       const HttpClientLimits& aLimits,
                       QObject& aContext,
                       Handlers aHandlers);
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  const Endpoint& Server() const { return server_; }

  void Connect(std::chrono::milliseconds aTimeout);
  // True if the connection is open and idle, and its peer has neither sent data
  // nor closed it.
  bool IsUsable() const;
  // As IsUsable, but reports bytes that the peer has sent meanwhile.
  bool CheckUsable();
  // True if the connection carries requests of this method. Those of HEAD have
  // connections of their own, since a late copy of the response to one states a
  // body that it doesn't have.
  bool IsFor(std::string_view aMethod) const;
  // False if no request with this id has been sent on the connection, the
  // current one included.
  bool MayHaveCarried(std::string_view aRequestId) const;
  // Starts an exchange on a new or idle connection. aHeadBytes is the
  // serialized request head; aRequestId is that of HttpClientOptions.
  std::shared_ptr<TcpClientExchange> Begin(
    const HttpRequestHead& aHead,
    std::string_view aHeadBytes,
    const std::optional<std::string>& aRequestId,
    std::shared_ptr<HttpResponseObserver> aObserver);
  // Closes the connection; a running exchange ends without an event.
  void Discard();

  // These functions implement the calls of TcpClientExchange.
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
    // The peer closed the connection; received bytes may still be unprocessed.
    PeerClosed,
    Closed,
  };

  void OnConnected();
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
  // True if an earlier exchange used the connection, so that late bytes of its
  // response may arrive.
  bool IsReused() const { return use_.exchangeNumber > 1; }
  // True if the end of the open response may hide the beginning of a copy: of
  // an earlier one or, without a length, of the response itself.
  bool MayHideCopy() const;
  // Passes the next bytes of the body on, or fails if another response is mixed
  // into them. Returns false if the exchange is over.
  bool DeliverBody(ByteView aBytes);
  // As DeliverBody, for the bytes held back when the body is complete.
  bool DeliverEndOfBody();
  // Passes bytes that the detector has released on. Fails without them.
  bool Deliver(const std::optional<ByteView>& aBytes);
  // True if a response with this head, found within the body, is none of its
  // bytes.
  bool IsStrayResponse(const HttpResponseHead& aHead) const;
  void FailWithStrayResponse();
  bool HasUnreadInput() const;
  void ReportStrayBytes(StrayBytesPlace aPlace);
  void Fail(HttpFailureKind aKind, std::string aReason);
  void Close();

  // Of the current exchange or, between exchanges, of the last one.
  ConnectionUse use_;
  // Of the requests that were sent on this connection.
  std::vector<std::size_t> requestIdHashes_;
  Endpoint server_;
  const HttpClientLimits& limits_;
  QObject& context_;
  Handlers handlers_;
  // Receiver of the signals of this connection; its destruction disconnects
  // them.
  QObject receiver_;
  QTcpSocket* socket_;
  QTimer timer_;
  State state_ = State::Connecting;
  // Set while the body ends with the connection; distinguishes an orderly close
  // from a reset.
  std::unique_ptr<SocketDuplicate> closeDetector_;
  // The peer closed the connection in an orderly way, not by a reset.
  bool isOrderlyClose_ = false;
  std::string closeReason_;
  bool isProcessing_ = false;

  std::shared_ptr<TcpClientExchange> exchange_;
  std::shared_ptr<HttpResponseObserver> observer_;
  // Request bytes to be sent once the connection is open.
  std::string pendingRequest_;
  RequestProgress request_;
  // The observer has been told that the request was sent.
  bool isRequestSent_ = false;
  bool isAboveHighWatermark_ = false;
  bool isPaused_ = false;
  bool isHeadDelivered_ = false;
  // The response being received belongs to an earlier request and is skipped.
  bool isSkipping_ = false;
  // Late copies of responses are recognised by the ids of their requests.
  bool hasRequestId_ = false;
  // Number of responses skipped since the request was sent.
  int skippedResponses_ = 0;
  std::string method_;

  HttpInputBuffer input_;
  HttpResponseParser parser_;
  StrayResponseDetector detector_;
};

} // namespace filbertbeam
