#include "owner/ServerAttempt.h"

#include "http/ConnectionFields.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

ServerAttempt::ServerAttempt(std::shared_ptr<HttpResponseObserver> aObserver,
                             std::string aRequestId)
  : observer_(std::move(aObserver))
  , requestId_(std::move(aRequestId))
{
}

void
ServerAttempt::Start(HttpClient& aClient,
                     const Endpoint& aServer,
                     const HttpRequestHead& aHead,
                     bool aIsIdempotent)
{
  HttpClientOptions options;
  // If an idle connection turns out to be closed, the outcome of a
  // non-idempotent request on it is unknown.
  options.freshConnection = !aIsIdempotent;
  options.requestId = requestId_;
  exchange_ = aClient.Start(aServer, aHead, options, shared_from_this());
}

void
ServerAttempt::Cancel()
{
  observer_.reset();
  exchange_->Cancel();
}

void
ServerAttempt::OnShed(const HttpResponseHead& aHead)
{
  isProvenRefused_ = IsProvenResponse(aHead);
}

bool
ServerAttempt::MayHaveRun() const
{
  return exchange_->AnyByteSent() && !isProvenRefused_;
}

bool
ServerAttempt::IsProvenResponse(const HttpResponseHead& aHead) const
{
  // On a connection that carried other requests before, any response may be a
  // late one to them, unless it names its request. No other attempt of this
  // request used the connection.
  return exchange_->Connection().exchangeNumber == 1 ||
         RequestIdOf(aHead) == requestId_;
}

void
ServerAttempt::OnRequestSent()
{
  if (const auto observer = observer_) {
    observer->OnRequestSent();
  }
}

void
ServerAttempt::OnRequestWritable()
{
  if (const auto observer = observer_) {
    observer->OnRequestWritable();
  }
}

bool
ServerAttempt::IsOwnResponse(const HttpResponseHead& aHead)
{
  // Servers may name their responses in other ways than by the request's id, so
  // only the id of an earlier request on the connection proves a late response.
  // Such a response may also have come within the head of the expected one,
  // which then names both requests.
  return std::ranges::none_of(
    aHead.fields.All(), [this](const HttpField& aField) {
      return EqualsIgnoringCase(aField.name, kBackendRequestIdField) &&
             aField.value != requestId_ &&
             exchange_->MayHaveCarried(aField.value);
    });
}

std::string
ServerAttempt::RequestIdOf(const HttpResponseHead& aHead) const
{
  return std::string(
    aHead.fields.FindOnly(kBackendRequestIdField).value_or(""));
}

bool
ServerAttempt::AllowsReuseAfter(const HttpResponseHead& aHead) const
{
  // The server may send a second copy of this response at any later time. Only
  // its id would distinguish the copy from the response to another request.
  return RequestIdOf(aHead) == requestId_;
}

void
ServerAttempt::OnResponseHead(const HttpResponseHead& aHead)
{
  if (const auto observer = observer_) {
    observer->OnResponseHead(aHead);
  }
}

void
ServerAttempt::OnResponseBody(ByteView aBytes)
{
  if (const auto observer = observer_) {
    observer->OnResponseBody(aBytes);
  }
}

void
ServerAttempt::OnResponseEnd()
{
  if (const auto observer = std::exchange(observer_, nullptr)) {
    observer->OnResponseEnd();
  }
}

void
ServerAttempt::OnExchangeFailed(const HttpFailure& aFailure)
{
  if (const auto observer = std::exchange(observer_, nullptr)) {
    observer->OnExchangeFailed(aFailure);
  }
}

} // namespace filbertbeam
