#include "http/HttpServerConnection.h"

#include "http/ConnectionFields.h"
#include "http/HttpHeadWriter.h"
#include "http/ProblemDetails.h"
#include "http/SocketProbe.h"
#include "http/TcpServerExchange.h"

#include <QHostAddress>

#include <sys/socket.h>

#include <algorithm>

namespace filbertbeam {

namespace {

// Limits of the input that is discarded after a response that closes the
// connection.
constexpr std::chrono::seconds kLingerTime{ 2 };
constexpr std::size_t kLingerBytes = 8 * 1024 * 1024;
constexpr int kRequestTimeout = 408;
constexpr int kGatewayTimeout = 504;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

Instant
Now()
{
  return std::chrono::steady_clock::now();
}

struct ProblemResponse
{
  HttpResponseHead head;
  std::string body;
};

ProblemResponse
MakeProblemResponse(int aStatus,
                    std::string_view aReason,
                    std::string_view aOutcome)
{
  ProblemDetails problem;
  problem.status = aStatus;
  problem.detail = aReason;
  problem.outcome = aOutcome;
  ProblemResponse response;
  response.head = ProblemHead(problem);
  problem.title = response.head.reason;
  response.body = ProblemBody(problem);
  response.head.framing = BodyFraming::Length;
  response.head.contentLength = response.body.size();
  return response;
}

bool
HasBody(const HttpRequestHead& aHead)
{
  return aHead.framing == BodyFraming::Chunked ||
         (aHead.framing == BodyFraming::Length && aHead.contentLength > 0);
}

} // namespace

HttpServerConnection::HttpServerConnection(QTcpSocket* aSocket,
                                           const HttpServerLimits& aLimits,
                                           HttpApplication& aApplication,
                                           QObject& aServerContext,
                                           ClosedHandler aOnClosed)
  : limits_(aLimits)
  , application_(aApplication)
  , serverContext_(aServerContext)
  , onClosed_(std::move(aOnClosed))
  , socket_(aSocket)
  , parser_(aLimits.headBytes, aLimits.bodyBytes)
  , idleSince_(Now())
{
  peer_.address = socket_->peerAddress().toString().toStdString();
  peer_.port = socket_->peerPort();
}

HttpServerConnection::~HttpServerConnection()
{
  // The destructor may run while the socket emits a signal.
  socket_->disconnect();
  socket_->abort();
  socket_->deleteLater();
}

void
HttpServerConnection::Start()
{
  socket_->setReadBufferSize(HttpInputBuffer::kSocketBytes);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  QObject::connect(
    socket_, &QTcpSocket::readyRead, &context_, [this] { Process(); });
  QObject::connect(socket_,
                   &QTcpSocket::bytesWritten,
                   &context_,
                   [this](qint64 aBytes) { OnBytesWritten(aBytes); });
  QObject::connect(
    socket_, &QTcpSocket::disconnected, &context_, [this] { Close(); });
  QObject::connect(
    socket_, &QTcpSocket::errorOccurred, &context_, [this] { Close(); });
  Process();
}

void
HttpServerConnection::CheckTimeLimits(Instant aNow)
{
  const auto self = shared_from_this();
  if (phase_ == Phase::Closed) {
    return;
  }
  if (phase_ != Phase::Open) {
    if (aNow >= lingerUntil_) {
      Close();
    }
    return;
  }
  if (socket_->bytesToWrite() == 0) {
    responseProgress_.Reset();
  } else if (!responseProgress_.Check(
               aNow, limits_.bodyGrace, limits_.bodyRate)) {
    Close();
    return;
  }
  if (exchanges_.empty()) {
    if (isHeadStarted_) {
      if (aNow - headBegin_ >= limits_.headTimeout) {
        RefuseHead(kRequestTimeout, "the request head did not arrive in time");
      }
    } else if (aNow - idleSince_ >= limits_.idleTimeout) {
      Close();
    }
    return;
  }
  const TcpServerExchange::ExchangeState& last = exchanges_.back()->State();
  // Qt does not monitor the socket while the read buffer is full; without this
  // check, the request of a caller that has disconnected would stay queued.
  if (socket_->bytesAvailable() >= HttpInputBuffer::kSocketBytes &&
      !last.isFinished && HasPeerClosed(*socket_)) {
    Close();
    return;
  }
  if (last.isRequestEnded || last.isBodyPaused || last.isFinished) {
    requestProgress_.Reset();
  } else if (!requestProgress_.Check(
               aNow, limits_.bodyGrace, limits_.bodyRate)) {
    FailRequest({ kRequestTimeout,
                  kGatewayTimeout,
                  "the request body arrives too slowly" });
  }
}

void
HttpServerConnection::StopAfterExchange()
{
  isStopping_ = true;
  Process();
  // A request that has already arrived in the socket still gets its response.
  if (phase_ == Phase::Open && exchanges_.empty() && !isHeadStarted_ &&
      ProbeSocket(*socket_) != SocketCondition::HasInput) {
    Close();
  }
}

void
HttpServerConnection::Shutdown()
{
  const auto self = shared_from_this();
  if (phase_ != Phase::Closed) {
    CloseSocket();
  }
  NotifyClosed();
}

void
HttpServerConnection::Process()
{
  if (isProcessing_) {
    return;
  }
  const auto self = shared_from_this();
  isProcessing_ = true;
  while (Step()) {
  }
  isProcessing_ = false;
}

bool
HttpServerConnection::Step()
{
  if (phase_ == Phase::Closing || phase_ == Phase::Lingering) {
    DiscardInput();
    return false;
  }
  if (phase_ == Phase::Closed) {
    return false;
  }
  if (IsReadingDeferred()) {
    return false;
  }
  if (isHeadDeferred_) {
    isHeadDeferred_ = false;
    return HandleHead();
  }
  std::size_t consumed = 0;
  parser_.SetLimits(limits_.headBytes, limits_.bodyBytes);
  const HttpParseStep step = parser_.Parse(input_.Bytes(), consumed);
  switch (step) {
    case HttpParseStep::NeedMore:
      input_.Consume(consumed);
      if ((exchanges_.empty() || exchanges_.back()->State().isRequestEnded) &&
          !isHeadStarted_ && !input_.Bytes().empty()) {
        isHeadStarted_ = true;
        headBegin_ = Now();
      }
      return input_.ReadFrom(*socket_);
    case HttpParseStep::Head:
      input_.Consume(consumed);
      if (IsRequestDeferred()) {
        isHeadDeferred_ = true;
        isHeadStarted_ = false;
        return false;
      }
      return HandleHead();
    case HttpParseStep::Body:
      HandleBody();
      input_.Consume(consumed);
      return true;
    case HttpParseStep::End:
      input_.Consume(consumed);
      HandleEnd();
      return true;
    case HttpParseStep::Failed:
      OnParseFailure();
      return false;
  }
  return false;
}

bool
HttpServerConnection::IsReadingDeferred() const
{
  if (exchanges_.empty()) {
    return false;
  }
  const TcpServerExchange::ExchangeState& last = exchanges_.back()->State();
  if (!last.isRequestEnded) {
    return last.isBodyPaused || last.isFinished;
  }
  // Input after a response that closes the connection is not read, and neither
  // is input after a request that asks to close the connection.
  return isHeadDeferred_ || isLastResponse_ || closesAfterResponse_ ||
         isStopping_ || !last.keepsAlive ||
         exchanges_.size() >= limits_.concurrentRequests;
}

bool
HttpServerConnection::IsRequestDeferred() const
{
  if (exchanges_.empty()) {
    return false;
  }
  // The connection ends with an aborted response, so that those behind it could
  // not be sent.
  const auto isAtRisk = [](const auto& aExchange) {
    const TcpServerExchange::ExchangeState& state = aExchange->State();
    return !state.isFinished && (state.mayBeAborted || state.isHeadSent);
  };
  return std::ranges::any_of(exchanges_, isAtRisk) ||
         !application_.MayRunConcurrently(parser_.Head());
}

bool
HttpServerConnection::HandleHead()
{
  isHeadStarted_ = false;
  isAboveHighWatermark_ = isAboveHighWatermark_ && !exchanges_.empty();
  requestProgress_.Reset();
  const auto exchange = std::make_shared<TcpServerExchange>(
    weak_from_this(), parser_.Head(), peer_);
  TcpServerExchange::ExchangeState& state = exchange->State();
  state.isRequestEnded = !HasBody(parser_.Head());
  state.isContinueDue = parser_.ExpectsContinue() && !state.isRequestEnded;
  state.keepsAlive = parser_.KeepAlive();
  state.mayBeAborted = application_.MayAbortResponse(parser_.Head());
  if (state.isRequestEnded) {
    parser_.Reset();
  }
  exchanges_.push_back(exchange);
  auto observer = application_.OnRequest(exchange);
  if (exchanges_.empty() || exchanges_.back() != exchange) {
    return true;
  }
  state.observer = std::move(observer);
  if (state.isRequestEnded && state.observer != nullptr && !state.isFinished &&
      phase_ == Phase::Open) {
    const auto current = state.observer;
    current->OnRequestEnd();
  }
  SendContinueIfDue(*exchange);
  return true;
}

void
HttpServerConnection::HandleBody()
{
  requestProgress_.AddBytes(parser_.Body().size());
  if (exchanges_.empty()) {
    return;
  }
  if (const auto observer = exchanges_.back()->State().observer) {
    observer->OnRequestBody(parser_.Body());
  }
}

void
HttpServerConnection::HandleEnd()
{
  if (exchanges_.empty()) {
    return;
  }
  TcpServerExchange::ExchangeState& state = exchanges_.back()->State();
  state.isRequestEnded = true;
  parser_.Reset();
  if (const auto observer = state.observer) {
    observer->OnRequestEnd();
  }
}

void
HttpServerConnection::DiscardInput()
{
  input_.Clear();
  lingerBytes_ +=
    static_cast<std::size_t>(socket_->skip(socket_->bytesAvailable()));
  if (lingerBytes_ > kLingerBytes) {
    Close();
  }
}

void
HttpServerConnection::PauseRequestBody(TcpServerExchange& aExchange)
{
  aExchange.State().isBodyPaused = true;
}

void
HttpServerConnection::ResumeRequestBody(TcpServerExchange& aExchange)
{
  if (!std::exchange(aExchange.State().isBodyPaused, false)) {
    return;
  }
  SendContinueIfDue(aExchange);
  // Queued, so that no body event is delivered during a call by the
  // application.
  QMetaObject::invokeMethod(
    &context_, [this] { Process(); }, Qt::QueuedConnection);
}

void
HttpServerConnection::SendContinueIfDue(TcpServerExchange& aExchange)
{
  TcpServerExchange::ExchangeState& state = aExchange.State();
  if (!state.isContinueDue || state.isBodyPaused || state.isHeadSent ||
      phase_ != Phase::Open) {
    return;
  }
  state.isContinueDue = false;
  Write(aExchange, kContinue);
}

void
HttpServerConnection::SendHead(TcpServerExchange& aExchange,
                               const HttpResponseHead& aHead)
{
  TcpServerExchange::ExchangeState& state = aExchange.State();
  if (phase_ != Phase::Open || state.isHeadSent) {
    return;
  }
  // An interim response would be treated as the final response here.
  if (aHead.status < 200) {
    Abort(aExchange);
    return;
  }
  // Requests that are already running get their responses before the connection
  // closes. Until the whole request body has been read, the start of the next
  // request is unknown.
  const bool isLast = exchanges_.back().get() == &aExchange;
  const bool endsConnection = !state.keepsAlive || !state.isRequestEnded ||
                              (isLast && (isStopping_ || closesAfterResponse_));
  state.keepsAlive = !endsConnection;
  isLastResponse_ = isLastResponse_ || endsConnection;
  const bool isHeadRequest = aExchange.Request().method == "HEAD";
  std::string reason;
  const auto head =
    WriteResponseHead(aHead, { state.keepsAlive, isHeadRequest }, reason);
  if (!head) {
    Abort(aExchange);
    return;
  }
  state.isHeadSent = true;
  state.isBodiless = IsBodilessResponse(aHead.status, isHeadRequest);
  state.framing = aHead.framing == BodyFraming::UntilClose
                    ? BodyFraming::Chunked
                    : aHead.framing;
  state.bodyBytesLeft =
    state.framing == BodyFraming::Length ? aHead.contentLength : 0;
  Write(aExchange, *head);
}

void
HttpServerConnection::SendBody(TcpServerExchange& aExchange, ByteView aBytes)
{
  TcpServerExchange::ExchangeState& state = aExchange.State();
  if (phase_ != Phase::Open || !state.isHeadSent || state.isFinished ||
      state.isBodiless || aBytes.empty()) {
    return;
  }
  const std::string_view bytes(aBytes.data(), aBytes.size());
  if (state.framing == BodyFraming::Chunked) {
    Write(aExchange, WriteChunkBegin(bytes.size()));
    Write(aExchange, bytes);
    Write(aExchange, kChunkEnd);
    return;
  }
  if (bytes.size() > state.bodyBytesLeft) {
    Abort(aExchange);
    return;
  }
  state.bodyBytesLeft -= bytes.size();
  Write(aExchange, bytes);
}

void
HttpServerConnection::Finish(TcpServerExchange& aExchange)
{
  TcpServerExchange::ExchangeState& state = aExchange.State();
  if (phase_ != Phase::Open || state.isFinished) {
    return;
  }
  if (!state.isHeadSent || (!state.isBodiless && state.bodyBytesLeft > 0)) {
    Abort(aExchange);
    return;
  }
  if (!state.isBodiless && state.framing == BodyFraming::Chunked) {
    Write(aExchange, kLastChunk);
  }
  state.isFinished = true;
  if (IsFront(aExchange) && socket_->bytesToWrite() == 0) {
    QMetaObject::invokeMethod(
      &context_, [this] { CompleteIfWritten(); }, Qt::QueuedConnection);
  }
}

void
HttpServerConnection::Abort(TcpServerExchange&)
{
  if (phase_ != Phase::Open) {
    return;
  }
  Close();
}

bool
HttpServerConnection::IsFront(const TcpServerExchange& aExchange) const
{
  return !exchanges_.empty() && exchanges_.front().get() == &aExchange;
}

std::size_t
HttpServerConnection::UnsentBytes() const
{
  return static_cast<std::size_t>(socket_->bytesToWrite());
}

std::size_t
HttpServerConnection::UnsentBytes(const TcpServerExchange& aExchange) const
{
  return IsFront(aExchange) ? UnsentBytes()
                            : aExchange.State().pendingResponse.size();
}

void
HttpServerConnection::Write(TcpServerExchange& aExchange,
                            std::string_view aBytes)
{
  if (!IsFront(aExchange)) {
    aExchange.State().pendingResponse += aBytes;
    return;
  }
  WriteToSocket(aBytes);
}

void
HttpServerConnection::WriteToSocket(std::string_view aBytes)
{
  socket_->write(aBytes.data(), static_cast<qint64>(aBytes.size()));
  isAboveHighWatermark_ =
    isAboveHighWatermark_ || UnsentBytes() >= limits_.highWatermark;
}

void
HttpServerConnection::OnBytesWritten(qint64 aBytes)
{
  const auto self = shared_from_this();
  responseProgress_.AddBytes(static_cast<std::size_t>(aBytes));
  if (phase_ == Phase::Closing) {
    BeginLingerIfWritten();
    return;
  }
  if (phase_ != Phase::Open || exchanges_.empty()) {
    return;
  }
  if (exchanges_.front()->State().isFinished) {
    CompleteIfWritten();
    return;
  }
  if (isAboveHighWatermark_ && UnsentBytes() <= limits_.lowWatermark) {
    isAboveHighWatermark_ = false;
    if (const auto observer = exchanges_.front()->State().observer) {
      observer->OnResponseWritable();
    }
  }
}

void
HttpServerConnection::CompleteIfWritten()
{
  if (phase_ == Phase::Open && !exchanges_.empty() &&
      exchanges_.front()->State().isFinished && socket_->bytesToWrite() == 0) {
    CompleteExchange();
  }
}

void
HttpServerConnection::CompleteExchange()
{
  const auto self = shared_from_this();
  const auto exchange = exchanges_.front();
  const TcpServerExchange::ExchangeState& state = exchange->State();
  const auto observer = std::exchange(exchange->State().observer, nullptr);
  exchange->Detach();
  exchanges_.pop_front();
  if (state.keepsAlive && state.isRequestEnded) {
    idleSince_ = Now();
    if (isHeadStarted_) {
      // The rest of the head may have been left unread because of the preceding
      // exchanges.
      headBegin_ = idleSince_;
    }
  } else {
    phase_ = Phase::Closing;
    NotifyExchangesClosed();
    BeginLingerIfWritten();
  }
  if (observer != nullptr) {
    observer->OnRequestClosed(true);
  }
  if (phase_ == Phase::Open && !exchanges_.empty()) {
    BeginNextResponse();
  }
  if (phase_ == Phase::Open && isStopping_ && exchanges_.empty() &&
      !isHeadDeferred_ && input_.Bytes().empty() &&
      ProbeSocket(*socket_) != SocketCondition::HasInput) {
    Close();
    return;
  }
  Process();
}

void
HttpServerConnection::BeginNextResponse()
{
  TcpServerExchange::ExchangeState& state = exchanges_.front()->State();
  const std::string pendingResponse = std::exchange(state.pendingResponse, {});
  if (!pendingResponse.empty()) {
    WriteToSocket(pendingResponse);
  }
  if (state.isFinished && socket_->bytesToWrite() == 0) {
    QMetaObject::invokeMethod(
      &context_, [this] { CompleteIfWritten(); }, Qt::QueuedConnection);
  }
}

void
HttpServerConnection::NotifyExchangesClosed()
{
  for (const auto& exchange : std::exchange(exchanges_, {})) {
    exchange->Detach();
    if (const auto observer =
          std::exchange(exchange->State().observer, nullptr)) {
      observer->OnRequestClosed(false);
    }
  }
}

void
HttpServerConnection::OnParseFailure()
{
  const int status = parser_.FailureStatus();
  const std::string reason = parser_.LastReason();
  if (IsBodyArriving()) {
    FailRequest({ status, status, reason });
  } else {
    RefuseHead(status, reason);
  }
}

bool
HttpServerConnection::IsBodyArriving() const
{
  return !exchanges_.empty() && !exchanges_.back()->State().isRequestEnded;
}

void
HttpServerConnection::RefuseHead(int aStatus, std::string_view aReason)
{
  const auto self = shared_from_this();
  // While preceding requests have no response, the caller would take this one
  // for one of theirs.
  if (!exchanges_.empty()) {
    Close();
    return;
  }
  // The application has not seen the request.
  const ProblemResponse response =
    MakeProblemResponse(aStatus, aReason, "not-run");
  std::string reason;
  const auto bytes = WriteResponseHead(response.head, { false, false }, reason);
  phase_ = Phase::Closing;
  lingerUntil_ = Now() + kLingerTime;
  WriteToSocket(*bytes);
  WriteToSocket(response.body);
  DiscardInput();
}

void
HttpServerConnection::FailRequest(const RequestFailure& aFailure)
{
  const auto self = shared_from_this();
  const auto exchange = exchanges_.back();
  TcpServerExchange::ExchangeState& state = exchange->State();
  // Only the application knows whether the request may have run.
  if (const auto observer = state.observer) {
    observer->OnRequestFailed(aFailure);
  }
  if (phase_ != Phase::Open || state.isFinished) {
    return;
  }
  if (state.isHeadSent) {
    Close();
    return;
  }
  exchange->Detach();
  if (const auto observer = std::exchange(state.observer, nullptr)) {
    observer->OnRequestClosed(false);
  }
  const ProblemResponse response =
    MakeProblemResponse(aFailure.statusIfUnknown, aFailure.reason, "unknown");
  SendHead(*exchange, response.head);
  SendBody(*exchange, response.body);
  Finish(*exchange);
}

void
HttpServerConnection::BeginLingerIfWritten()
{
  if (socket_->bytesToWrite() > 0) {
    return;
  }
  phase_ = Phase::Lingering;
  lingerUntil_ = Now() + kLingerTime;
  ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
}

void
HttpServerConnection::Close()
{
  if (phase_ == Phase::Closed) {
    return;
  }
  const auto self = shared_from_this();
  CloseSocket();
  // Queued, so that the last event is not delivered during a call by the
  // application.
  QMetaObject::invokeMethod(
    &serverContext_, [self] { self->NotifyClosed(); }, Qt::QueuedConnection);
}

void
HttpServerConnection::CloseSocket()
{
  phase_ = Phase::Closed;
  socket_->disconnect(&context_);
  socket_->abort();
  for (const auto& exchange : exchanges_) {
    exchange->Detach();
  }
}

void
HttpServerConnection::NotifyClosed()
{
  if (std::exchange(isClosedNotified_, true)) {
    return;
  }
  NotifyExchangesClosed();
  if (const auto onClosed = std::exchange(onClosed_, nullptr)) {
    onClosed(*this);
  }
}

} // namespace filbertbeam
