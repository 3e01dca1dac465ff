#pragma once

#include "base/Clock.h"
#include "entry/ActiveRelays.h"
#include "http/HttpClient.h"

#include <memory>
#include <string>

namespace filbertbeam {

class RelayAttempt;

// Receives the events of the attempts of one request.
class RelayAttemptObserver
{
public:
  virtual ~RelayAttemptObserver() = default;

  virtual void OnAttemptWritable(const RelayAttempt& aAttempt) = 0;
  virtual void OnAttemptHead(const RelayAttempt& aAttempt,
                             const HttpResponseHead& aHead) = 0;
  virtual void OnAttemptBody(const RelayAttempt& aAttempt, ByteView aBytes) = 0;
  virtual void OnAttemptEnd(const RelayAttempt& aAttempt) = 0;
  virtual void OnAttemptFailed(const RelayAttempt& aAttempt,
                               const HttpFailure& aFailure) = 0;
  // The owner is unreachable in this host's view, and no head has arrived. The
  // attempt goes on unless it is given up.
  virtual void OnOwnerUnreachable(const RelayAttempt& aAttempt) = 0;
};

// One relay of a request to the owner of one shard. Once it is given up, its
// late events reach nobody, so that an answer to an earlier attempt cannot mix
// with the answer to a later one.
class RelayAttempt final
  : public HttpResponseObserver
  , public std::enable_shared_from_this<RelayAttempt>
{
public:
  // aActiveRelays has to outlive the attempt.
  RelayAttempt(std::shared_ptr<RelayAttemptObserver> aObserver,
               std::string_view aShard,
               ActiveRelays& aActiveRelays);
  ~RelayAttempt() override;
  RelayAttempt(const RelayAttempt&) = delete;
  RelayAttempt& operator=(const RelayAttempt&) = delete;

  void Start(HttpClient& aClient,
             const Member& aOwner,
             const HttpRequestHead& aHead);
  // Cancels the exchange; no further event reaches the observer.
  void Cancel();

  HttpClientExchange& Exchange() { return *exchange_; }
  const std::string& Shard() const { return shard_; }
  // Name of the host that the request was relayed to.
  const std::string& Owner() const { return owner_; }
  void OnOwnerUnreachable();
  bool AnyByteSent() const { return exchange_ && exchange_->AnyByteSent(); }

  void OnRequestSent() override {}
  void OnRequestWritable() override;
  void OnResponseHead(const HttpResponseHead& aHead) override;
  void OnResponseBody(ByteView aBytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(const HttpFailure& aFailure) override;

private:
  // Reset when the attempt ends or is given up.
  std::shared_ptr<RelayAttemptObserver> observer_;
  std::shared_ptr<HttpClientExchange> exchange_;
  const std::string shard_;
  ActiveRelays& activeRelays_;
  std::string owner_;
};

} // namespace filbertbeam
