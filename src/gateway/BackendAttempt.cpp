#include "gateway/BackendAttempt.h"

#include "base/Log.h"

namespace filbertbeam {

namespace {

// Larger responses are passed on while they arrive. Bounds the memory of a
// request together with the number of running requests.
constexpr std::size_t kMaxHeldResponse = 1024 * 1024;

} // namespace

BackendAttempt::BackendAttempt(std::weak_ptr<BackendAttemptOwner> aOwner,
                               const ExchangeDialect& aDialect,
                               std::string aRequestId,
                               const BackendServerRecord& aServer,
                               const SelectionHandle& aHandle,
                               Instant aNow)
  : owner_(std::move(aOwner))
  , dialect_(aDialect)
  , requestId_(std::move(aRequestId))
  , server_(aServer)
  , handle_(aHandle)
  , startedAt_(aNow)
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
  owner_.reset();
  if (exchange_) {
    exchange_->Cancel();
  }
}

bool
BackendAttempt::AnyByteSent() const
{
  return exchange_ && exchange_->AnyByteSent();
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
  if (const auto owner = owner_.lock()) {
    owner->OnAttemptWritable(*this);
  }
}

bool
BackendAttempt::IsOwnResponse(const HttpResponseHead& aHead)
{
  const ReplyTerms terms = dialect_.ReadReply(aHead);
  if (terms.requestId.empty() || terms.requestId == requestId_) {
    return true;
  }
  LogEvent(LogLevel::Warning,
           "foreign_response_dropped",
           { { "request", requestId_ },
             { "server", server_.id },
             { "response_to", terms.requestId },
             { "status", aHead.status } });
  return false;
}

void
BackendAttempt::OnResponseHead(const HttpResponseHead& aHead)
{
  head_ = aHead;
}

void
BackendAttempt::OnResponseBody(ByteView aBytes)
{
  if (isStreaming_) {
    if (const auto owner = owner_.lock()) {
      owner->OnAttemptBody(*this, aBytes);
    }
    return;
  }
  body_.append(aBytes.data(), aBytes.size());
  if (body_.size() <= kMaxHeldResponse) {
    return;
  }
  const auto owner = owner_.lock();
  isStreaming_ = owner && owner->OnAttemptLarge(*this);
  if (!isStreaming_) {
    Cancel();
  }
}

void
BackendAttempt::OnResponseEnd()
{
  const auto self = shared_from_this();
  if (const auto owner = owner_.lock()) {
    owner->OnAttemptAnswered(*this);
  }
}

void
BackendAttempt::OnExchangeFailed(const HttpFailure& aFailure)
{
  const auto self = shared_from_this();
  if (const auto owner = owner_.lock()) {
    owner->OnAttemptFailed(*this, aFailure);
  }
}

} // namespace filbertbeam
