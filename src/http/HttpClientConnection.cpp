#include "http/HttpClientConnection.h"

#include "http/HttpHeadWriter.h"
#include "http/SocketProbe.h"
#include "http/TcpClientExchange.h"
#include "http/TcpKeepAlive.h"

#include <QHostAddress>
#include <QNetworkProxy>

#include <algorithm>

namespace filbertbeam {

namespace {

// Maximum number of responses to earlier requests that are skipped before the
// expected one.
constexpr int kMaxSkippedResponses = 4;
// A connection that has carried this many requests with an id is not kept,
// which limits the memory for their hashes to 8 KiB.
constexpr std::size_t kMaxRequestIds = 1'024;
constexpr std::string_view kHead = "HEAD";
// If a server announces how long it keeps idle connections, a connection is
// dropped this long before that time, so that no request is sent just before
// the server closes it.
constexpr std::chrono::milliseconds kIdleMargin{ 1'500 };

// 64 bits, so that the id of another system in a response is not taken for one
// of the connection.
std::size_t
HashOfId(std::string_view aId)
{
  static_assert(sizeof(std::size_t) == 8);
  return std::hash<std::string_view>()(aId);
}

} // namespace

HttpClientConnection::HttpClientConnection(std::uint64_t aNumber,
                                           const Endpoint& aServer,
                                           const HttpClientLimits& aLimits,
                                           QObject& aContext,
                                           Handlers aHandlers)
  : use_{ aNumber, 0 }
  , server_(aServer)
  , limits_(aLimits)
  , context_(aContext)
  , handlers_(std::move(aHandlers))
  , socket_(new QTcpSocket)
  , parser_(aLimits.headBytes)
  , detector_(aLimits.headBytes, [this](const HttpResponseHead& aHead) {
    return IsStrayResponse(aHead);
  })
{
  timer_.setSingleShot(true);
}

HttpClientConnection::~HttpClientConnection()
{
  // The destructor may run while the socket emits a signal.
  socket_->disconnect(&receiver_);
  socket_->abort();
  socket_->deleteLater();
}

void
HttpClientConnection::Connect(std::chrono::milliseconds aTimeout)
{
  socket_->setProxy(QNetworkProxy::NoProxy);
  socket_->setReadBufferSize(HttpInputBuffer::kSocketBytes);
  QObject::connect(
    socket_, &QTcpSocket::connected, &receiver_, [this] { OnConnected(); });
  QObject::connect(
    socket_, &QTcpSocket::readyRead, &receiver_, [this] { OnReadyRead(); });
  // Unlike bytesWritten, this signal is emitted within a slot of itself too.
  // Otherwise bytes would not be counted while an observer runs an event loop.
  QObject::connect(socket_,
                   &QTcpSocket::channelBytesWritten,
                   &receiver_,
                   [this](int, qint64 aBytes) { OnBytesWritten(aBytes); });
  QObject::connect(
    socket_, &QTcpSocket::disconnected, &receiver_, [this] { OnPeerClosed(); });
  QObject::connect(
    socket_, &QTcpSocket::errorOccurred, &receiver_, [this] { OnError(); });
  QObject::connect(
    &timer_, &QTimer::timeout, &receiver_, [this] { OnTimeout(); });
  timer_.start(aTimeout);
  const QHostAddress address(QString::fromStdString(server_.address));
  if (address.isNull()) {
    Fail(HttpFailureKind::Connect, "not an IP address: " + server_.address);
    return;
  }
  socket_->connectToHost(address, server_.port);
}

bool
HttpClientConnection::IsUsable() const
{
  return state_ == State::Connected && exchange_ == nullptr &&
         input_.Bytes().empty() &&
         ProbeSocket(*socket_) == SocketCondition::Idle;
}

bool
HttpClientConnection::CheckUsable()
{
  if (HasUnreadInput()) {
    ReportStrayBytes(StrayBytesPlace::Idle);
    return false;
  }
  return IsUsable();
}

bool
HttpClientConnection::IsFor(std::string_view aMethod) const
{
  return (method_ == kHead) == (aMethod == kHead);
}

bool
HttpClientConnection::MayHaveCarried(std::string_view aRequestId) const
{
  return std::ranges::find(requestIdHashes_, HashOfId(aRequestId)) !=
         requestIdHashes_.end();
}

std::shared_ptr<TcpClientExchange>
HttpClientConnection::Begin(const HttpRequestHead& aHead,
                            std::string_view aHeadBytes,
                            const std::optional<std::string>& aRequestId,
                            std::shared_ptr<HttpResponseObserver> aObserver)
{
  if (state_ == State::Connected) {
    timer_.stop();
  }
  if (aRequestId) {
    requestIdHashes_.push_back(HashOfId(*aRequestId));
  }
  ++use_.exchangeNumber;
  exchange_ = std::make_shared<TcpClientExchange>(weak_from_this(), use_);
  observer_ = std::move(aObserver);
  request_.Begin(aHead);
  isRequestSent_ = false;
  isAboveHighWatermark_ = false;
  isPaused_ = false;
  isHeadDelivered_ = false;
  isSkipping_ = false;
  skippedResponses_ = 0;
  method_ = aHead.method;
  parser_.Reset(method_);
  hasRequestId_ = aRequestId.has_value();
  detector_.Reset(hasRequestId_);
  Write(aHeadBytes);
  return exchange_;
}

void
HttpClientConnection::Discard()
{
  if (exchange_ != nullptr) {
    exchange_->Detach(AnyByteSent());
    exchange_.reset();
  }
  observer_.reset();
  Close();
}

void
HttpClientConnection::SendBody(ByteView aBytes)
{
  if (exchange_ == nullptr || aBytes.empty()) {
    return;
  }
  const std::string_view bytes(aBytes.data(), aBytes.size());
  if (!request_.AddBody(bytes.size())) {
    Fail(HttpFailureKind::Cancelled,
         "the request body is longer than announced");
    return;
  }
  if (!request_.IsChunked()) {
    Write(bytes);
    return;
  }
  Write(WriteChunkBegin(bytes.size()));
  Write(bytes);
  Write(kChunkEnd);
}

void
HttpClientConnection::FinishBody()
{
  if (exchange_ == nullptr || request_.IsBodyComplete()) {
    return;
  }
  if (!request_.FinishBody()) {
    Fail(HttpFailureKind::Cancelled,
         "the request body is shorter than announced");
    return;
  }
  Write(kLastChunk);
}

void
HttpClientConnection::PauseResponseBody()
{
  isPaused_ = true;
}

void
HttpClientConnection::ResumeResponseBody()
{
  if (!isPaused_) {
    return;
  }
  isPaused_ = false;
  QMetaObject::invokeMethod(
    &receiver_, [this] { Process(); }, Qt::QueuedConnection);
}

void
HttpClientConnection::Cancel()
{
  Fail(HttpFailureKind::Cancelled, "cancelled");
}

bool
HttpClientConnection::AnyByteSent() const
{
  return request_.AnyByteSent();
}

std::size_t
HttpClientConnection::UnsentBytes() const
{
  return request_.UnsentBytes();
}

void
HttpClientConnection::OnConnected()
{
  if (state_ != State::Connecting) {
    return;
  }
  timer_.stop();
  state_ = State::Connected;
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  EnableTcpKeepAlive(*socket_, limits_.unresponsivePeerTimeout);
  socket_->write(pendingRequest_.data(),
                 static_cast<qint64>(pendingRequest_.size()));
  pendingRequest_.clear();
  pendingRequest_.shrink_to_fit();
}

void
HttpClientConnection::OnBytesWritten(qint64 aBytes)
{
  const auto self = shared_from_this();
  request_.OnSent(static_cast<std::uint64_t>(aBytes));
  if (exchange_ == nullptr) {
    return;
  }
  const auto observer = observer_;
  if (!isRequestSent_ && request_.IsSent()) {
    isRequestSent_ = true;
    observer->OnRequestSent();
    return;
  }
  if (isAboveHighWatermark_ && UnsentBytes() <= limits_.lowWatermark) {
    isAboveHighWatermark_ = false;
    observer->OnRequestWritable();
  }
}

void
HttpClientConnection::OnReadyRead()
{
  const auto self = shared_from_this();
  if (exchange_ == nullptr) {
    // No response is expected; these bytes would be taken for the next
    // response.
    ReportStrayBytes(StrayBytesPlace::Idle);
    Close();
    return;
  }
  Process();
}

void
HttpClientConnection::OnError()
{
  const auto self = shared_from_this();
  if (state_ == State::Connecting) {
    Fail(HttpFailureKind::Connect, socket_->errorString().toStdString());
    return;
  }
  OnPeerClosed();
}

void
HttpClientConnection::OnPeerClosed()
{
  if (state_ != State::Connected) {
    return;
  }
  const auto self = shared_from_this();
  isOrderlyClose_ =
    closeDetector_ != nullptr && closeDetector_->HasOrderlyClose();
  closeReason_ = socket_->errorString().toStdString();
  // Keeps the data that arrived before the close; it is at most one read
  // buffer.
  input_.ReadRestOf(*socket_);
  state_ = State::PeerClosed;
  // No more bytes may be sent: the number of bytes sent is final from here on.
  socket_->disconnect(&receiver_);
  socket_->abort();
  closeDetector_.reset();
  if (exchange_ == nullptr) {
    Close();
    return;
  }
  Process();
}

void
HttpClientConnection::OnTimeout()
{
  const auto self = shared_from_this();
  if (state_ == State::Connecting) {
    Fail(HttpFailureKind::Connect, "connecting timed out");
    return;
  }
  if (exchange_ == nullptr) {
    Close();
  }
}

void
HttpClientConnection::Process()
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
HttpClientConnection::Step()
{
  if (exchange_ == nullptr || (isPaused_ && isHeadDelivered_) ||
      state_ == State::Closed) {
    return false;
  }
  std::size_t consumed = 0;
  const HttpParseStep step = parser_.Parse(input_.Bytes(), consumed);
  if (step == HttpParseStep::NeedMore) {
    input_.Consume(consumed);
    if (state_ == State::Connected && input_.ReadFrom(*socket_)) {
      return true;
    }
    if (state_ != State::PeerClosed) {
      return false;
    }
    if (parser_.ParseEndOfInput() == HttpParseStep::Failed) {
      Fail(HttpFailureKind::Closed, parser_.LastReason());
    } else if (!isOrderlyClose_ || isSkipping_) {
      Fail(HttpFailureKind::Closed, closeReason_);
    } else if (DeliverEndOfBody()) {
      CompleteExchange();
    }
    return false;
  }
  const auto observer = observer_;
  switch (step) {
    case HttpParseStep::Head:
      input_.Consume(consumed);
      if (!AnyByteSent()) {
        Fail(HttpFailureKind::Malformed,
             "a response arrived before the request was sent");
        return false;
      }
      if (parser_.Head().framing == BodyFraming::UntilClose) {
        if (state_ == State::PeerClosed) {
          // The connection ended together with the head, so a reset can no
          // longer be distinguished from an orderly close.
          Fail(HttpFailureKind::Closed, closeReason_);
          return false;
        }
        closeDetector_ = std::make_unique<SocketDuplicate>(*socket_);
      }
      if (hasRequestId_ && HasResponseWithin(parser_.Head(), IsReused())) {
        FailWithStrayResponse();
        return false;
      }
      isSkipping_ = !observer->IsOwnResponse(parser_.Head());
      if (!isSkipping_) {
        isHeadDelivered_ = true;
        observer->OnResponseHead(parser_.Head());
      }
      return true;
    case HttpParseStep::Body:
      if (!isSkipping_ && !DeliverBody(parser_.Body())) {
        return false;
      }
      input_.Consume(consumed);
      return true;
    case HttpParseStep::End:
      input_.Consume(consumed);
      if (isSkipping_) {
        SkipResponse();
        return exchange_ != nullptr;
      }
      if (DeliverEndOfBody()) {
        CompleteExchange();
      }
      return false;
    case HttpParseStep::Failed:
      Fail(HttpFailureKind::Malformed, parser_.LastReason());
      return false;
    case HttpParseStep::NeedMore:
      break;
  }
  return false;
}

void
HttpClientConnection::Write(std::string_view aBytes)
{
  request_.OnQueued(aBytes.size());
  if (state_ == State::Connecting) {
    pendingRequest_ += aBytes;
  } else if (state_ == State::Connected) {
    socket_->write(aBytes.data(), static_cast<qint64>(aBytes.size()));
  }
  isAboveHighWatermark_ =
    isAboveHighWatermark_ || UnsentBytes() >= limits_.highWatermark;
}

void
HttpClientConnection::SkipResponse()
{
  ++skippedResponses_;
  ReportStrayBytes(StrayBytesPlace::BeforeResponse);
  if (!parser_.KeepAlive()) {
    Fail(HttpFailureKind::Closed,
         "the connection ended with a response to another request");
    return;
  }
  if (skippedResponses_ > kMaxSkippedResponses) {
    Fail(HttpFailureKind::Malformed, "too many responses to other requests");
    return;
  }
  isSkipping_ = false;
  parser_.Reset(method_);
}

bool
HttpClientConnection::DeliverBody(ByteView aBytes)
{
  return Deliver(detector_.Examine(aBytes));
}

bool
HttpClientConnection::DeliverEndOfBody()
{
  if (!detector_.IsHolding()) {
    return true;
  }
  if (state_ == State::Connected) {
    // The rest of a head that began in the body.
    input_.ReadFrom(*socket_);
  }
  using Ending = StrayResponseDetector::Ending;
  return Deliver(detector_.Finish(
    input_.Bytes(), MayHideCopy() ? Ending::Doubtful : Ending::Certain));
}

bool
HttpClientConnection::Deliver(const std::optional<ByteView>& aBytes)
{
  if (!aBytes) {
    FailWithStrayResponse();
    return false;
  }
  if (!aBytes->empty()) {
    const auto observer = observer_;
    observer->OnResponseBody(*aBytes);
  }
  return exchange_ != nullptr;
}

bool
HttpClientConnection::IsStrayResponse(const HttpResponseHead& aHead) const
{
  const std::string id = observer_->RequestIdOf(aHead);
  return id.empty() ? observer_->HasServerMark(aHead) : MayHaveCarried(id);
}

bool
HttpClientConnection::MayHideCopy() const
{
  return IsReused() || parser_.Head().framing == BodyFraming::UntilClose;
}

void
HttpClientConnection::FailWithStrayResponse()
{
  ReportStrayBytes(StrayBytesPlace::WithinResponse);
  Fail(HttpFailureKind::Malformed, "another response is mixed into this one");
}

bool
HttpClientConnection::HasUnreadInput() const
{
  return !input_.Bytes().empty() ||
         (state_ == State::Connected &&
          ProbeSocket(*socket_) == SocketCondition::HasInput);
}

void
HttpClientConnection::ReportStrayBytes(StrayBytesPlace aPlace)
{
  handlers_.onStrayBytes({ server_, use_, aPlace });
}

void
HttpClientConnection::CompleteExchange()
{
  const bool isReusable = state_ == State::Connected && request_.IsSent() &&
                          parser_.KeepAlive() && skippedResponses_ == 0 &&
                          observer_->AllowsReuseAfter(parser_.Head()) &&
                          requestIdHashes_.size() < kMaxRequestIds;
  const std::chrono::milliseconds idleTime =
    parser_.IdleTimeout()
      ? std::min(limits_.idleTimeout, *parser_.IdleTimeout() - kIdleMargin)
      : limits_.idleTimeout;
  if (HasUnreadInput()) {
    ReportStrayBytes(StrayBytesPlace::AfterResponse);
  }
  exchange_->Detach(AnyByteSent());
  exchange_.reset();
  const auto observer = std::exchange(observer_, nullptr);
  if (isReusable && idleTime.count() > 0 && IsUsable() &&
      handlers_.onIdle(*this)) {
    timer_.start(idleTime);
  } else {
    Close();
  }
  observer->OnResponseEnd();
}

void
HttpClientConnection::Fail(HttpFailureKind aKind, std::string aReason)
{
  if (exchange_ == nullptr) {
    Close();
    return;
  }
  // The socket is closed first, which makes the number of bytes sent final.
  const auto self = shared_from_this();
  const auto exchange = std::exchange(exchange_, nullptr);
  const auto observer = std::exchange(observer_, nullptr);
  Close();
  exchange->Detach(AnyByteSent());
  HttpFailure failure{ aKind, AnyByteSent(), std::move(aReason) };
  QMetaObject::invokeMethod(
    &context_,
    [observer, failure] { observer->OnExchangeFailed(failure); },
    Qt::QueuedConnection);
}

void
HttpClientConnection::Close()
{
  if (state_ == State::Closed) {
    return;
  }
  state_ = State::Closed;
  timer_.stop();
  socket_->disconnect(&receiver_);
  socket_->abort();
  closeDetector_.reset();
  if (const auto onClosed = std::exchange(handlers_.onClosed, nullptr)) {
    onClosed(*this);
  }
}

} // namespace filbertbeam
