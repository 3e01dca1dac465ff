#pragma once

#include "base/Clock.h"
#include "http/HttpInputBuffer.h"
#include "http/HttpRequestParser.h"
#include "http/HttpServer.h"
#include "http/ProgressWindow.h"

#include <QObject>
#include <QTcpSocket>

#include <deque>
#include <functional>

namespace filbertbeam {

class TcpServerExchange;

// One connection of a caller: reads requests one after another and writes their
// responses in the same order. Pipelined requests run concurrently if the
// application allows it.
class HttpServerConnection final
  : public std::enable_shared_from_this<HttpServerConnection>
{
public:
  using ClosedHandler = std::function<void(HttpServerConnection&)>;

  // aOnClosed is called once, from the event loop or from Shutdown.
  // aServerContext is the context object of queued calls that keep the
  // connection alive; it is destroyed after Shutdown.
  HttpServerConnection(QTcpSocket* aSocket,
                       const HttpServerLimits& aLimits,
                       HttpApplication& aApplication,
                       QObject& aServerContext,
                       ClosedHandler aOnClosed);
  ~HttpServerConnection();
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;

  void Start();
  // Enforces the time limits.
  void CheckTimeLimits(Instant aNow);
  // Makes the next response close the connection, which stays open until then.
  void CloseAfterResponse() { closesAfterResponse_ = true; }
  // Closes the connection after the exchange that is running or whose request
  // is arriving.
  void StopAfterExchange();
  // Closes the connection immediately.
  void Shutdown();
  bool HasExchange() const { return !exchanges_.empty(); }

  // These functions implement the calls of TcpServerExchange.
  void PauseRequestBody(TcpServerExchange& aExchange);
  void ResumeRequestBody(TcpServerExchange& aExchange);
  void SendHead(TcpServerExchange& aExchange, const HttpResponseHead& aHead);
  void SendBody(TcpServerExchange& aExchange, ByteView aBytes);
  void Finish(TcpServerExchange& aExchange);
  void Abort(TcpServerExchange& aExchange);
  std::size_t UnsentBytes(const TcpServerExchange& aExchange) const;

private:
  enum class Phase
  {
    // The connection waits for a request, receives it or runs its exchange.
    Open,
    // The last response is being written.
    Closing,
    // The write side is shut down; input is discarded for a short time, so that
    // a TCP reset does not discard the response before the caller has read it.
    Lingering,
    Closed,
  };

  void Process();
  bool Step();
  // True while no input may be parsed: the request body is paused, or the next
  // request has to wait for the preceding exchanges.
  bool IsReadingDeferred() const;
  // True while the request whose head was parsed has to wait for the preceding
  // exchanges.
  bool IsRequestDeferred() const;
  bool HandleHead();
  void HandleBody();
  void HandleEnd();
  void DiscardInput();

  bool IsFront(const TcpServerExchange& aExchange) const;
  std::size_t UnsentBytes() const;
  void Write(TcpServerExchange& aExchange, std::string_view aBytes);
  void WriteToSocket(std::string_view aBytes);
  void OnBytesWritten(qint64 aBytes);
  void CompleteIfWritten();
  void CompleteExchange();
  void BeginNextResponse();
  void OnParseFailure();
  // True while the body of the last request has not been read to its end.
  bool IsBodyArriving() const;
  // Sends a problem response to a request whose head is invalid or incomplete
  // and closes the connection.
  void RefuseHead(int aStatus, std::string_view aReason);
  // Ends the request whose body is arriving: the application responds, or the
  // server in its place, and the connection closes.
  void FailRequest(const RequestFailure& aFailure);
  void SendContinueIfDue(TcpServerExchange& aExchange);
  void NotifyExchangesClosed();
  void BeginLingerIfWritten();
  void Close();
  void CloseSocket();
  void NotifyClosed();

  const HttpServerLimits& limits_;
  HttpApplication& application_;
  QObject& serverContext_;
  ClosedHandler onClosed_;
  QTcpSocket* socket_;
  // Context object of signals and of queued calls that are dropped when the
  // connection is destroyed.
  QObject context_;
  Endpoint peer_;
  Phase phase_ = Phase::Open;
  bool isProcessing_ = false;
  bool isStopping_ = false;
  bool closesAfterResponse_ = false;
  bool isClosedNotified_ = false;

  HttpInputBuffer input_;
  HttpRequestParser parser_;
  // A request head has been arriving since headBegin_.
  bool isHeadStarted_ = false;
  Instant headBegin_;
  Instant idleSince_;
  Instant lingerUntil_;
  std::size_t lingerBytes_ = 0;

  // Exchanges in the order of their requests; the response of the first is
  // being sent, and the request of the last may still be arriving.
  std::deque<std::shared_ptr<TcpServerExchange>> exchanges_;
  // The head of the next request has arrived and waits for the preceding
  // exchanges.
  bool isHeadDeferred_ = false;
  // A response that closes the connection has been started.
  bool isLastResponse_ = false;
  bool isAboveHighWatermark_ = false;
  ProgressWindow requestProgress_;
  ProgressWindow responseProgress_;
};

} // namespace filbertbeam
