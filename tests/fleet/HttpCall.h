#pragma once

#include "http/HttpClient.h"

#include <QElapsedTimer>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam::testing {

// One request that a test sends to a process, with its response or failure.
class HttpCall final : public HttpResponseObserver
{
public:
  // Starts the call on a new connection, or with aIsConnectionReused on an idle
  // one where available. aClient must outlive the call.
  static std::shared_ptr<HttpCall> Start(HttpClient& aClient,
                                         const Endpoint& aServer,
                                         HttpRequestHead aHead,
                                         std::string_view aBody = {},
                                         bool aIsConnectionReused = false);

  bool IsDone() const { return isComplete_ || failure_.has_value(); }
  // Returns whether the whole response was received.
  bool IsComplete() const { return isComplete_; }
  // Returns 0 when no response was received.
  int Status() const { return head_ ? head_->status : 0; }
  const std::string& Body() const { return body_; }
  // Returns the value of a response header field, or an empty string.
  std::string Field(std::string_view aName) const;
  // Returns the member "outcome" of a problem response, or an empty string.
  std::string Outcome() const;
  std::string Title() const;
  // Returns the time from the start of the call to its end.
  double Milliseconds() const { return milliseconds_; }
  std::string FailureReason() const
  {
    return failure_ ? failure_->reason : std::string();
  }
  void Cancel();

  void OnRequestSent() override {}
  void OnRequestWritable() override {}
  void OnResponseHead(const HttpResponseHead& aHead) override;
  void OnResponseBody(ByteView aBytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(const HttpFailure& aFailure) override;

private:
  void Stop();

  std::shared_ptr<HttpClientExchange> exchange_;
  std::optional<HttpResponseHead> head_;
  std::optional<HttpFailure> failure_;
  std::string body_;
  bool isComplete_ = false;
  QElapsedTimer timer_;
  double milliseconds_ = 0;
};

using Calls = std::vector<std::shared_ptr<HttpCall>>;

// Runs the event loop until every call is done. Returns false after the
// timeout.
bool
WaitForAll(const Calls& aCalls, std::chrono::milliseconds aTimeout);

// Runs the event loop for the given time.
void
RunFor(std::chrono::milliseconds aTime);

} // namespace filbertbeam::testing
