#include "http/HttpServerConnection.h"

#include "http/ConnectionFields.h"
#include "http/HttpHeadWriter.h"
#include "http/ProblemDetails.h"
#include "http/SocketProbe.h"
#include "http/TcpServerExchange.h"

#include <QHostAddress>

#include <sys/socket.h>

namespace filbertbeam {

namespace {

constexpr qint64 kReadBufferBytes = 64 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;
// What a caller may still send after a response that ends its connection.
constexpr std::chrono::seconds kLingerTime{ 2 };
constexpr std::size_t kLingerBytes = 8 * 1024 * 1024;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

Instant
Now()
{
  return std::chrono::steady_clock::now();
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
                                           QObject& aOwner,
                                           ClosedHandler aOnClosed)
  : limits_(aLimits)
  , application_(aApplication)
  , owner_(aOwner)
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
  // The destructor may run within a signal of the socket.
  socket_->disconnect();
  socket_->abort();
  socket_->deleteLater();
}

void
HttpServerConnection::Start()
{
  socket_->setReadBufferSize(kReadBufferBytes);
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
HttpServerConnection::CheckTime(Instant aNow)
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
  if (exchange_ == nullptr) {
    if (isHeadStarted_) {
      if (aNow - headBegin_ >= limits_.headTimeout) {
        Refuse(408, "the request head did not arrive in time");
      }
    } else if (aNow - idleSince_ >= limits_.idleTimeout) {
      Close();
    }
    return;
  }
  // With a full read buffer, Qt does not watch the socket, and a caller that
  // went away would keep its request queued.
  if (socket_->bytesAvailable() >= kReadBufferBytes && !isFinished_ &&
      HasPeerEnded(*socket_)) {
    Close();
    return;
  }
  if (isRequestEnded_ || isBodyPaused_ || isFinished_) {
    requestProgress_.Reset();
  } else if (!requestProgress_.Check(
               aNow, limits_.bodyGrace, limits_.bodyRate)) {
    Refuse(408, "the request body arrives too slowly");
  }
}

void
HttpServerConnection::StopAfterExchange()
{
  isStopping_ = true;
  Process();
  // A request that is on its way in the socket is still answered.
  if (phase_ == Phase::Open && exchange_ == nullptr && !isHeadStarted_ &&
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
  if (exchange_ != nullptr &&
      (isRequestEnded_ || isBodyPaused_ || isFinished_)) {
    return false;
  }
  std::size_t consumed = 0;
  const HttpParseStep step = parser_.Parse(Input(), consumed);
  switch (step) {
    case HttpParseStep::NeedMore:
      Consume(consumed);
      if (exchange_ == nullptr && !isHeadStarted_ && !Input().empty()) {
        isHeadStarted_ = true;
        headBegin_ = Now();
      }
      return ReadMore();
    case HttpParseStep::Head:
      Consume(consumed);
      return HandleHead();
    case HttpParseStep::Body:
      HandleBody();
      Consume(consumed);
      return true;
    case HttpParseStep::End:
      Consume(consumed);
      HandleEnd();
      return true;
    case HttpParseStep::Failed:
      Refuse(parser_.FailureStatus(), parser_.LastReason());
      return false;
  }
  return false;
}

bool
HttpServerConnection::HandleHead()
{
  isHeadStarted_ = false;
  isRequestEnded_ = !HasBody(parser_.Head());
  isBodyPaused_ = false;
  isContinueDue_ = parser_.ExpectsContinue() && !isRequestEnded_;
  isHeadSent_ = false;
  isFinished_ = false;
  isAboveHigh_ = false;
  requestProgress_.Reset();
  exchange_ = std::make_shared<TcpServerExchange>(
    weak_from_this(), parser_.Head(), peer_);
  auto observer = application_.OnRequest(exchange_);
  if (exchange_ == nullptr) {
    return true;
  }
  observer_ = std::move(observer);
  if (isRequestEnded_ && observer_ != nullptr && !isFinished_ &&
      phase_ == Phase::Open) {
    const auto current = observer_;
    current->OnRequestEnd();
  }
  SendContinueIfDue();
  return true;
}

void
HttpServerConnection::HandleBody()
{
  requestProgress_.AddBytes(parser_.Body().size());
  if (const auto observer = observer_) {
    observer->OnRequestBody(parser_.Body());
  }
}

void
HttpServerConnection::HandleEnd()
{
  isRequestEnded_ = true;
  if (const auto observer = observer_) {
    observer->OnRequestEnd();
  }
}

bool
HttpServerConnection::ReadMore()
{
  if (socket_->bytesAvailable() == 0) {
    return false;
  }
  input_.erase(0, inputBegin_);
  inputBegin_ = 0;
  const std::size_t size = input_.size();
  input_.resize(size + kReadBytes);
  const qint64 count = socket_->read(input_.data() + size, kReadBytes);
  input_.resize(size + (count > 0 ? static_cast<std::size_t>(count) : 0));
  return count > 0;
}

ByteView
HttpServerConnection::Input() const
{
  return ByteView(input_).subspan(inputBegin_);
}

void
HttpServerConnection::Consume(std::size_t aBytes)
{
  inputBegin_ += aBytes;
}

void
HttpServerConnection::DiscardInput()
{
  input_.clear();
  inputBegin_ = 0;
  lingerBytes_ +=
    static_cast<std::size_t>(socket_->skip(socket_->bytesAvailable()));
  if (lingerBytes_ > kLingerBytes) {
    Close();
  }
}

void
HttpServerConnection::PauseRequestBody()
{
  isBodyPaused_ = true;
}

void
HttpServerConnection::ResumeRequestBody()
{
  if (!isBodyPaused_) {
    return;
  }
  isBodyPaused_ = false;
  SendContinueIfDue();
  // Queued, so that body events do not come during a call of the application.
  QMetaObject::invokeMethod(
    &context_, [this] { Process(); }, Qt::QueuedConnection);
}

void
HttpServerConnection::SendContinueIfDue()
{
  if (!isContinueDue_ || isBodyPaused_ || isHeadSent_ ||
      phase_ != Phase::Open) {
    return;
  }
  isContinueDue_ = false;
  Write(kContinue);
}

void
HttpServerConnection::SendHead(const HttpResponseHead& aHead)
{
  if (phase_ != Phase::Open || exchange_ == nullptr || isHeadSent_) {
    return;
  }
  // An interim response would be taken for the whole response here.
  if (aHead.status < 200) {
    Abort();
    return;
  }
  // Without its whole body read, the next request cannot be found.
  keepsAlive_ = parser_.KeepAlive() && !isStopping_ && !closesAfterResponse_ &&
                isRequestEnded_;
  const bool isHeadRequest = exchange_->Request().method == "HEAD";
  std::string reason;
  const auto head =
    WriteResponseHead(aHead, { keepsAlive_, isHeadRequest }, reason);
  if (!head) {
    Abort();
    return;
  }
  isHeadSent_ = true;
  isBodiless_ = IsBodilessResponse(aHead.status, isHeadRequest);
  framing_ = aHead.framing == BodyFraming::UntilClose ? BodyFraming::Chunked
                                                      : aHead.framing;
  bodyBytesLeft_ = framing_ == BodyFraming::Length ? aHead.contentLength : 0;
  Write(*head);
}

void
HttpServerConnection::SendBody(ByteView aBytes)
{
  if (phase_ != Phase::Open || !isHeadSent_ || isFinished_ || isBodiless_ ||
      aBytes.empty()) {
    return;
  }
  const std::string_view bytes(aBytes.data(), aBytes.size());
  if (framing_ == BodyFraming::Chunked) {
    Write(WriteChunkBegin(bytes.size()));
    Write(bytes);
    Write(kChunkEnd);
    return;
  }
  if (bytes.size() > bodyBytesLeft_) {
    Abort();
    return;
  }
  bodyBytesLeft_ -= bytes.size();
  Write(bytes);
}

void
HttpServerConnection::Finish()
{
  if (phase_ != Phase::Open || exchange_ == nullptr || isFinished_) {
    return;
  }
  if (!isHeadSent_ || (!isBodiless_ && bodyBytesLeft_ > 0)) {
    Abort();
    return;
  }
  if (!isBodiless_ && framing_ == BodyFraming::Chunked) {
    Write(kLastChunk);
  }
  isFinished_ = true;
  if (socket_->bytesToWrite() == 0) {
    QMetaObject::invokeMethod(
      &context_, [this] { CompleteIfWritten(); }, Qt::QueuedConnection);
  }
}

void
HttpServerConnection::Abort()
{
  if (phase_ != Phase::Open || exchange_ == nullptr) {
    return;
  }
  Close();
}

std::size_t
HttpServerConnection::UnsentBytes() const
{
  return static_cast<std::size_t>(socket_->bytesToWrite());
}

void
HttpServerConnection::Write(std::string_view aBytes)
{
  socket_->write(aBytes.data(), static_cast<qint64>(aBytes.size()));
  isAboveHigh_ = isAboveHigh_ || UnsentBytes() >= limits_.highWatermark;
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
  if (phase_ != Phase::Open) {
    return;
  }
  if (isFinished_) {
    CompleteIfWritten();
    return;
  }
  if (isAboveHigh_ && UnsentBytes() <= limits_.lowWatermark) {
    isAboveHigh_ = false;
    if (const auto observer = observer_) {
      observer->OnResponseWritable();
    }
  }
}

void
HttpServerConnection::CompleteIfWritten()
{
  if (phase_ == Phase::Open && exchange_ != nullptr && isFinished_ &&
      socket_->bytesToWrite() == 0) {
    CompleteExchange();
  }
}

void
HttpServerConnection::CompleteExchange()
{
  const auto self = shared_from_this();
  exchange_->Detach();
  exchange_.reset();
  const auto observer = std::exchange(observer_, nullptr);
  if (keepsAlive_ && isRequestEnded_) {
    parser_.Reset();
    idleSince_ = Now();
  } else {
    phase_ = Phase::Closing;
    BeginLingerIfWritten();
  }
  if (observer != nullptr) {
    observer->OnRequestClosed(true);
  }
  if (phase_ == Phase::Open && isStopping_ && Input().empty() &&
      ProbeSocket(*socket_) != SocketCondition::HasInput) {
    Close();
    return;
  }
  Process();
}

void
HttpServerConnection::Refuse(int aStatus, std::string_view aReason)
{
  const auto self = shared_from_this();
  const bool wasSeen = exchange_ != nullptr;
  if (wasSeen && isHeadSent_) {
    Close();
    return;
  }
  const bool isHeadRequest = wasSeen && exchange_->Request().method == "HEAD";
  ProblemDetails problem;
  problem.status = aStatus;
  problem.detail = aReason;
  problem.outcome = wasSeen ? "unknown" : "not-run";
  HttpResponseHead head = ProblemHead(problem);
  problem.title = head.reason;
  const std::string body = ProblemBody(problem);
  head.framing = BodyFraming::Length;
  head.contentLength = body.size();
  std::string reason;
  const auto bytes = WriteResponseHead(head, { false, isHeadRequest }, reason);
  phase_ = Phase::Closing;
  lingerUntil_ = Now() + kLingerTime;
  if (wasSeen) {
    exchange_->Detach();
    exchange_.reset();
    if (const auto observer = std::exchange(observer_, nullptr)) {
      observer->OnRequestClosed(false);
    }
  }
  Write(*bytes);
  if (!isHeadRequest) {
    Write(body);
  }
  DiscardInput();
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
  // Queued, so that the last event does not come during a call of the
  // application.
  QMetaObject::invokeMethod(
    &owner_, [self] { self->NotifyClosed(); }, Qt::QueuedConnection);
}

void
HttpServerConnection::CloseSocket()
{
  phase_ = Phase::Closed;
  socket_->disconnect(&context_);
  socket_->abort();
  if (exchange_ != nullptr) {
    exchange_->Detach();
  }
}

void
HttpServerConnection::NotifyClosed()
{
  if (std::exchange(isClosedNotified_, true)) {
    return;
  }
  exchange_.reset();
  if (const auto observer = std::exchange(observer_, nullptr)) {
    observer->OnRequestClosed(false);
  }
  if (const auto onClosed = std::exchange(onClosed_, nullptr)) {
    onClosed(*this);
  }
}

} // namespace filbertbeam
