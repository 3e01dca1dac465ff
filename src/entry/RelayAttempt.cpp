#include "entry/RelayAttempt.h"

#include <utility>

namespace filbertbeam {

RelayAttempt::RelayAttempt(std::shared_ptr<RelayAttemptObserver> aObserver,
                           std::string_view aShard)
  : observer_(std::move(aObserver))
  , shard_(aShard)
{
}

void
RelayAttempt::Start(HttpClient& aClient,
                    const Endpoint& aOwner,
                    const HttpRequestHead& aHead)
{
  exchange_ =
    aClient.Start(aOwner, aHead, HttpClientOptions{}, shared_from_this());
}

void
RelayAttempt::GiveUp()
{
  observer_.reset();
  if (exchange_) {
    exchange_->Cancel();
  }
}

void
RelayAttempt::OnRequestWritable()
{
  if (const auto observer = observer_) {
    observer->OnAttemptWritable(*this);
  }
}

void
RelayAttempt::OnResponseHead(const HttpResponseHead& aHead)
{
  if (const auto observer = observer_) {
    observer->OnAttemptHead(*this, aHead);
  }
}

void
RelayAttempt::OnResponseBody(ByteView aBytes)
{
  if (const auto observer = observer_) {
    observer->OnAttemptBody(*this, aBytes);
  }
}

void
RelayAttempt::OnResponseEnd()
{
  if (const auto observer = std::exchange(observer_, nullptr)) {
    observer->OnAttemptEnd(*this);
  }
}

void
RelayAttempt::OnExchangeFailed(const HttpFailure& aFailure)
{
  if (const auto observer = std::exchange(observer_, nullptr)) {
    observer->OnAttemptFailed(*this, aFailure);
  }
}

} // namespace filbertbeam
