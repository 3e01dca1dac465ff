#pragma once

#include "http/HttpClient.h"

#include <memory>
#include <string>

namespace filbertbeam {

// Field that names a request to backend servers, and in the responses of those
// that repeat it.
inline constexpr std::string_view kBackendRequestIdField = "X-Request-Id";

// Sends a request to a backend server once, and holds what proves that the
// request did not run in this attempt. Drops late events after it is cancelled,
// so that the events of two attempts of a request cannot mix.
class ServerAttempt final
  : public HttpResponseObserver
  , public std::enable_shared_from_this<ServerAttempt>
{
public:
  // aRequestId is what kBackendRequestIdField of the request holds.
  ServerAttempt(std::shared_ptr<HttpResponseObserver> aObserver,
                std::string aRequestId);

  // A non-idempotent request gets a new connection.
  void Start(HttpClient& aClient,
             const Endpoint& aServer,
             const HttpRequestHead& aHead,
             bool aIsIdempotent);
  // Cancels the exchange; the observer gets no further events, and the result
  // of MayHaveRun is final.
  void Cancel();

  HttpClientExchange& Exchange() { return *exchange_; }

  // Notes that the server sent aHead to refuse the request.
  void OnShed(const HttpResponseHead& aHead);
  // False if no byte of the request was sent, or if a refusal of the server
  // provably belongs to this attempt.
  bool MayHaveRun() const;

  void OnRequestSent() override;
  void OnRequestWritable() override;
  bool IsOwnResponse(const HttpResponseHead& aHead) override;
  std::string RequestIdOf(const HttpResponseHead& aHead) const override;
  bool AllowsReuseAfter(const HttpResponseHead& aHead) const override;
  void OnResponseHead(const HttpResponseHead& aHead) override;
  void OnResponseBody(ByteView aBytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(const HttpFailure& aFailure) override;

private:
  bool IsProvenResponse(const HttpResponseHead& aHead) const;

  // Reset when the attempt ends or is cancelled.
  std::shared_ptr<HttpResponseObserver> observer_;
  const std::string requestId_;
  std::shared_ptr<HttpClientExchange> exchange_;
  bool isProvenRefused_ = false;
};

} // namespace filbertbeam
