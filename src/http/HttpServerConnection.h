#pragma once

#include "base/Clock.h"
#include "http/HttpRequestParser.h"
#include "http/HttpServer.h"
#include "http/ProgressWindow.h"

#include <QObject>
#include <QTcpSocket>

#include <functional>

namespace filbertbeam {

class TcpServerExchange;

// One connection of a caller: reads requests one after another, runs one
// exchange at a time and writes its response.
class HttpServerConnection final
  : public std::enable_shared_from_this<HttpServerConnection>
{
public:
  using ClosedHandler = std::function<void(HttpServerConnection&)>;

  // aOnClosed is called once, from the event loop or from Shutdown. aOwner is
  // the context of calls that keep the connection alive; it is destroyed after
  // Shutdown.
  HttpServerConnection(QTcpSocket* aSocket,
                       const HttpServerLimits& aLimits,
                       HttpApplication& aApplication,
                       QObject& aOwner,
                       ClosedHandler aOnClosed);
  ~HttpServerConnection();
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;

  void Start();
  // Enforces the time limits.
  void CheckTime(Instant aNow);
  // The next response ends the connection; until then it stays open.
  void CloseAfterResponse() { closesAfterResponse_ = true; }
  // Closes after the exchange that runs or whose request is arriving.
  void StopAfterExchange();
  // Closes at once.
  void Shutdown();
  bool HasExchange() const { return exchange_ != nullptr; }

  // The calls of the exchange.
  void PauseRequestBody();
  void ResumeRequestBody();
  void SendHead(const HttpResponseHead& aHead);
  void SendBody(ByteView aBytes);
  void Finish();
  void Abort();
  std::size_t UnsentBytes() const;

private:
  enum class Phase
  {
    // Waits for a request, receives it or runs its exchange.
    Open,
    // A last response is being written.
    Closing,
    // The write side is shut down; input is discarded for a short time, so
    // that a reset does not destroy the response on its way.
    Lingering,
    Closed,
  };

  void Process();
  bool Step();
  bool HandleHead();
  void HandleBody();
  void HandleEnd();
  bool ReadMore();
  ByteView Input() const;
  void Consume(std::size_t aBytes);
  void DiscardInput();

  void Write(std::string_view aBytes);
  void OnBytesWritten(qint64 aBytes);
  void CompleteIfWritten();
  void CompleteExchange();
  // Answers bad input with a problem response and closes.
  void Refuse(int aStatus, std::string_view aReason);
  void SendContinueIfDue();
  void BeginLingerIfWritten();
  void Close();
  void CloseSocket();
  void NotifyClosed();

  const HttpServerLimits& limits_;
  HttpApplication& application_;
  QObject& owner_;
  ClosedHandler onClosed_;
  QTcpSocket* socket_;
  // Context of signals and of queued calls that are dropped with the
  // connection.
  QObject context_;
  Endpoint peer_;
  Phase phase_ = Phase::Open;
  bool isProcessing_ = false;
  bool isStopping_ = false;
  bool closesAfterResponse_ = false;
  bool isClosedNotified_ = false;

  std::string input_;
  std::size_t inputBegin_ = 0;
  HttpRequestParser parser_;
  // The head is arriving since headBegin_.
  bool isHeadStarted_ = false;
  Instant headBegin_;
  Instant idleSince_;
  Instant lingerUntil_;
  std::size_t lingerBytes_ = 0;

  std::shared_ptr<TcpServerExchange> exchange_;
  std::shared_ptr<HttpRequestObserver> observer_;
  bool isRequestEnded_ = false;
  bool isBodyPaused_ = false;
  bool isContinueDue_ = false;
  bool isHeadSent_ = false;
  bool isFinished_ = false;
  bool isBodiless_ = false;
  bool keepsAlive_ = true;
  bool isAboveHigh_ = false;
  BodyFraming framing_ = BodyFraming::None;
  std::uint64_t bodyBytesLeft_ = 0;
  ProgressWindow requestProgress_;
  ProgressWindow responseProgress_;
};

} // namespace filbertbeam
