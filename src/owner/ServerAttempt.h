#pragma once

#include "http/HttpClient.h"

#include <memory>

namespace filbertbeam {

// Sends a request to a backend server once, and holds what proves that the
// request did not run in this attempt. Drops late events after it is cancelled,
// so that the events of two attempts of a request cannot mix.
class ServerAttempt final
  : public HttpResponseObserver
  , public std::enable_shared_from_this<ServerAttempt>
{
public:
  explicit ServerAttempt(std::shared_ptr<HttpResponseObserver> aObserver);

  // A non-idempotent request gets a new connection.
  void Start(HttpClient& aClient,
             const Endpoint& aServer,
             const HttpRequestHead& aHead,
             bool aIsIdempotent);
  // Cancels the exchange; the observer gets no further events, and the result
  // of MayHaveRun is final.
  void Cancel();

  HttpClientExchange& Exchange() { return *exchange_; }

  // Notes that the server refused the request.
  void OnShed() { isShed_ = true; }
  // False if no byte of the request was sent, or if the server refused it.
  bool MayHaveRun() const;

  void OnRequestSent() override;
  void OnRequestWritable() override;
  void OnResponseHead(const HttpResponseHead& aHead) override;
  void OnResponseBody(ByteView aBytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(const HttpFailure& aFailure) override;

private:
  // Reset when the attempt ends or is cancelled.
  std::shared_ptr<HttpResponseObserver> observer_;
  std::shared_ptr<HttpClientExchange> exchange_;
  bool isShed_ = false;
};

} // namespace filbertbeam
