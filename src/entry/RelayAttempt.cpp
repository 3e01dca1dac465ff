#include "entry/RelayAttempt.h"

#include <utility>

namespace filbertbeam {

RelayAttempt::RelayAttempt(std::shared_ptr<RelayAttemptObserver> aObserver,
                           std::string_view aShard,
                           ActiveRelays& aActiveRelays)
  : observer_(std::move(aObserver))
  , shard_(aShard)
  , activeRelays_(aActiveRelays)
{
}

RelayAttempt::~RelayAttempt()
{
  activeRelays_.Remove(*this);
}

void
RelayAttempt::Start(HttpClient& aClient,
                    const Member& aOwner,
                    const HttpRequestHead& aHead)
{
  owner_ = aOwner.host;
  activeRelays_.Add(*this);
  exchange_ =
    aClient.Start(aOwner.relay, aHead, HttpClientOptions{}, shared_from_this());
}

void
RelayAttempt::Cancel()
{
  observer_.reset();
  activeRelays_.Remove(*this);
  if (exchange_) {
    exchange_->Cancel();
  }
}

void
RelayAttempt::OnOwnerUnreachable()
{
  if (const auto observer = observer_) {
    observer->OnOwnerUnreachable(*this);
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
  activeRelays_.Remove(*this);
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
