#include "gateway/BackendAttempt.h"

#include "base/Log.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// Responses of more bytes than this are forwarded while they arrive.
constexpr std::size_t kMaxBufferedResponse = 1024 * 1024;

} // namespace

BackendAttempt::BackendAttempt(std::weak_ptr<BackendAttemptObserver> aObserver,
                               const ExchangeHeaderCodec& aHeaderCodec,
                               std::string aRequestId,
                               const BackendServerRecord& aServer,
                               const SelectionHandle& aHandle,
                               MemoryBudget& aMemory,
                               Instant aNow)
  : observer_(std::move(aObserver))
  , headerCodec_(aHeaderCodec)
  , requestId_(std::move(aRequestId))
  , server_(aServer)
  , handle_(aHandle)
  , startedAt_(aNow)
  , memory_(aMemory)
{
}

void
BackendAttempt::Start(HttpClient& aClient,
                      const HttpRequestHead& aHead,
                      const HttpClientOptions& aOptions,
                      std::string_view aBody,
                      bool aIsBodyComplete)
{
  exchange_ =
    aClient.Start(server_.address, aHead, aOptions, shared_from_this());
  connection_ = exchange_->Connection();
  exchange_->SendBody({ aBody.data(), aBody.size() });
  if (aIsBodyComplete) {
    exchange_->FinishBody();
  }
}

void
BackendAttempt::SendBody(ByteView aBytes)
{
  if (exchange_) {
    exchange_->SendBody(aBytes);
  }
}

void
BackendAttempt::FinishBody()
{
  if (exchange_) {
    exchange_->FinishBody();
  }
}

void
BackendAttempt::Cancel()
{
  observer_.reset();
  body_ = {};
  memory_.ShrinkTo(0);
  if (exchange_) {
    exchange_->Cancel();
  }
}

bool
BackendAttempt::AnyByteSent() const
{
  // A response or a failure has ended the exchange, which is no proof.
  return exchange_ == nullptr || exchange_->AnyByteSent();
}

std::size_t
BackendAttempt::UnsentBytes() const
{
  return exchange_ ? exchange_->UnsentBytes() : 0;
}

void
BackendAttempt::PauseResponse()
{
  if (exchange_) {
    exchange_->PauseResponseBody();
  }
}

void
BackendAttempt::ResumeResponse()
{
  if (exchange_) {
    exchange_->ResumeResponseBody();
  }
}

void
BackendAttempt::OnRequestSent()
{
}

void
BackendAttempt::OnRequestWritable()
{
  if (const auto observer = observer_.lock()) {
    observer->OnAttemptWritable(*this);
  }
}

bool
BackendAttempt::IsOwnResponse(const HttpResponseHead& aHead)
{
  const std::string id = RequestIdOf(aHead);
  if (id.empty() || id == requestId_) {
    return true;
  }
  LogEvent(LogLevel::Warning,
           "foreign_response_dropped",
           { { "request", requestId_ },
             { "server", server_.id },
             { "connection", connection_.connectionNumber },
             { "exchange", connection_.exchangeNumber },
             { "response_to", id },
             { "status", aHead.status } });
  return false;
}

std::string
BackendAttempt::RequestIdOf(const HttpResponseHead& aHead) const
{
  return headerCodec_.ReadResponseHeaders(aHead).requestId;
}

bool
BackendAttempt::HasServerMark(const HttpResponseHead& aHead) const
{
  return headerCodec_.ReadResponseHeaders(aHead).isSigned;
}

bool
BackendAttempt::AllowsReuseAfter(const HttpResponseHead& aHead) const
{
  // A late copy of a response that names no request could not be told from the
  // next response.
  return RequestIdOf(aHead) == requestId_;
}

void
BackendAttempt::OnResponseHead(const HttpResponseHead& aHead)
{
  head_ = aHead;
  if (const auto observer = observer_.lock()) {
    observer->OnAttemptHead(*this);
  }
}

void
BackendAttempt::OnResponseBody(ByteView aBytes)
{
  if (isStreaming_) {
    if (const auto observer = observer_.lock()) {
      observer->OnAttemptBody(*this, aBytes);
    }
    return;
  }
  const std::size_t size = body_.size() + aBytes.size();
  if (size <= kMaxBufferedResponse && memory_.GrowTo(size)) {
    if (body_.empty() && head_.framing == BodyFraming::Length) {
      body_.reserve(
        std::min<std::uint64_t>(head_.contentLength, kMaxBufferedResponse));
    }
    body_.append(aBytes.data(), aBytes.size());
    return;
  }
  const auto self = shared_from_this();
  const auto observer = observer_.lock();
  isStreaming_ = observer && observer->OnAttemptLargeResponse(*this);
  if (isStreaming_) {
    observer->OnAttemptBody(*this, aBytes);
  } else {
    Cancel();
  }
}

void
BackendAttempt::OnResponseEnd()
{
  const auto self = shared_from_this();
  exchange_.reset();
  if (const auto observer = observer_.lock()) {
    observer->OnAttemptResponse(*this);
  }
}

void
BackendAttempt::OnExchangeFailed(const HttpFailure& aFailure)
{
  const auto self = shared_from_this();
  exchange_.reset();
  if (const auto observer = observer_.lock()) {
    observer->OnAttemptFailed(*this, aFailure);
  }
}

} // namespace filbertbeam
