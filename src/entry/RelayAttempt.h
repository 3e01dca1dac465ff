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
  // Called when the membership view shows the owner as unreachable before a
  // response head has arrived. The attempt continues unless it is cancelled.
  virtual void OnOwnerUnreachable(const RelayAttempt& aAttempt) = 0;
};

// Relays a request once to the owner of a shard. After it is cancelled, late
// events are dropped, so that the responses to two attempts cannot mix.
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
  // Cancels the exchange; the observer gets no further events.
  void Cancel();

  HttpClientExchange& Exchange() { return *exchange_; }
  const std::string& Shard() const { return shard_; }
  // Returns the name of the host that the request was relayed to.
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
  // Reset when the attempt ends or is cancelled.
  std::shared_ptr<RelayAttemptObserver> observer_;
  std::shared_ptr<HttpClientExchange> exchange_;
  const std::string shard_;
  ActiveRelays& activeRelays_;
  std::string owner_;
};

} // namespace filbertbeam
