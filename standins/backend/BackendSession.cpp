#include "standins/backend/BackendSession.h"

#include "standins/backend/BackendApplication.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <charconv>

namespace filbertbeam {

namespace {

constexpr std::string_view kBytesPrefix = "/bytes/";
constexpr std::uint64_t kMaxBytes = 1ULL << 32;
constexpr std::size_t kPieceBytes = 16 * 1024;
// Above the server's high watermark, so that OnResponseWritable is called
// later.
constexpr std::size_t kMaxUnsentBytes = 512 * 1024;
constexpr std::uint64_t kPatternPeriod = 251;

// Returns a part of the body of /bytes/N, in which byte i is i modulo 251. The
// period is prime, so that a lost or duplicated block shifts the pattern.
std::string
Pattern(std::uint64_t aOffset, std::size_t aSize)
{
  std::string bytes(aSize, '\0');
  for (std::size_t i = 0; i < aSize; ++i) {
    bytes[i] = static_cast<char>((aOffset + i) % kPatternPeriod);
  }
  return bytes;
}

template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [parsedTo, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || parsedTo != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

BackendSession::BackendSession(BackendApplication& aApplication,
                               std::shared_ptr<HttpServerExchange> aExchange)
  : application_(aApplication)
  , exchange_(std::move(aExchange))
{
}

void
BackendSession::OnRequestBody(ByteView aBytes)
{
  bodyBytes_ += aBytes.size();
  hash_.addData(
    QByteArrayView(aBytes.data(), static_cast<qsizetype>(aBytes.size())));
}

void
BackendSession::OnRequestEnd()
{
  const HttpFields& fields = exchange_->Request().fields;
  application_.Runs().AddRun(fields);
  switch (application_.Mode().kind) {
    case GrayModeKind::BlackHole:
      return;
    case GrayModeKind::Close:
      exchange_->Abort();
      return;
    default:
      break;
  }
  std::chrono::microseconds wait = application_.DrawServiceTime();
  bool isInTime = true;
  if (const auto field = fields.Find("Request-Timeout-Ms")) {
    const auto timeout = ParseNumber<std::int64_t>(*field);
    if (timeout && std::chrono::milliseconds(*timeout) < wait) {
      wait = std::chrono::milliseconds(*timeout);
      isInTime = false;
    }
  }
  const auto rounded = std::chrono::round<std::chrono::milliseconds>(wait);
  QTimer::singleShot(rounded, Qt::PreciseTimer, &context_, [this, isInTime] {
    Serve(isInTime);
  });
}

void
BackendSession::OnResponseWritable()
{
  SendBytes();
}

void
BackendSession::OnRequestClosed(bool aIsComplete)
{
  if (!aIsComplete) {
    application_.Runs().AddCancellation();
  }
  ReleaseSlot();
  exchange_.reset();
}

void
BackendSession::Serve(bool aIsInTime)
{
  if (exchange_ == nullptr) {
    return;
  }
  if (!aIsInTime) {
    SendShortResponse(504, "deadline exceeded\n");
    return;
  }
  const HttpRequestHead& request = exchange_->Request();
  const auto customer = request.fields.Find("Filbertbeam-Customer");
  if (application_.DrawFailure(customer.value_or(""))) {
    SendShortResponse(500, "simulated failure\n");
    return;
  }
  isTruncating_ = application_.Mode().kind == GrayModeKind::Truncate;
  const std::string_view target = request.target;
  if (target.starts_with(kBytesPrefix)) {
    const auto question = target.find('?');
    const auto count = ParseNumber<std::uint64_t>(
      target.substr(0, question).substr(kBytesPrefix.size()));
    if (!count || *count > kMaxBytes) {
      SendShortResponse(400, "not a number of bytes\n");
      return;
    }
    StartBytes(*count, target.ends_with("?chunked"));
    return;
  }
  SendEcho();
}

void
BackendSession::SendEcho()
{
  const HttpRequestHead& request = exchange_->Request();
  const QJsonObject echo{
    { "method", QString::fromStdString(request.method) },
    { "path", QString::fromStdString(request.target) },
    { "body_bytes", static_cast<qint64>(bodyBytes_) },
    { "body_sha256", QString::fromLatin1(hash_.result().toHex()) },
  };
  SendShortResponse(
    200, QJsonDocument(echo).toJson(QJsonDocument::Compact).toStdString());
}

void
BackendSession::StartBytes(std::uint64_t aCount, bool aIsChunked)
{
  HttpResponseHead head;
  head.status = 200;
  head.fields.Add("Content-Type", "application/octet-stream");
  head.framing = aIsChunked ? BodyFraming::Chunked : BodyFraming::Length;
  head.contentLength = aCount;
  bytesToSend_ = aCount;
  exchange_->SendHead(head);
  SendBytes();
}

void
BackendSession::SendBytes()
{
  if (exchange_ == nullptr) {
    return;
  }
  const std::uint64_t end = isTruncating_ ? bytesToSend_ / 2 : bytesToSend_;
  while (bytesSent_ < end && exchange_->UnsentBytes() < kMaxUnsentBytes) {
    const auto size = static_cast<std::size_t>(
      std::min<std::uint64_t>(kPieceBytes, end - bytesSent_));
    exchange_->SendBody(Pattern(bytesSent_, size));
    bytesSent_ += size;
  }
  if (bytesSent_ < end) {
    return;
  }
  if (!isTruncating_) {
    exchange_->Finish();
    return;
  }
  // Waits until the first half has been sent before it closes the connection.
  if (exchange_->UnsentBytes() > 0) {
    QTimer::singleShot(1, &context_, [this] { SendBytes(); });
    return;
  }
  exchange_->Abort();
}

void
BackendSession::SendShortResponse(int aStatus, std::string_view aBody)
{
  const HttpFields& fields = exchange_->Request().fields;
  HttpResponseHead head;
  head.status = aStatus;
  head.fields.Add("Content-Type",
                  aStatus == 200 ? "application/json" : "text/plain");
  // Lets a caller detect that it received the response to another request.
  if (const auto id = fields.Find("X-Request-Id")) {
    head.fields.Add("X-Request-Id", *id);
  }
  head.framing = BodyFraming::Length;
  head.contentLength = aBody.size();
  exchange_->SendHead(head);
  if (isTruncating_) {
    exchange_->SendBody({ aBody.data(), aBody.size() / 2 });
    QTimer::singleShot(1, &context_, [this] {
      if (exchange_ != nullptr) {
        exchange_->Abort();
      }
    });
    return;
  }
  exchange_->SendBody({ aBody.data(), aBody.size() });
  exchange_->Finish();
}

void
BackendSession::ReleaseSlot()
{
  if (hasSlot_) {
    hasSlot_ = false;
    application_.ReleaseSlot();
  }
}

} // namespace filbertbeam
