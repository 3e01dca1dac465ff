#pragma once

#include "balancing/SelectionService.h"
#include "base/MemoryBudget.h"
#include "directory/BackendServerRecord.h"
#include "gateway/ExchangeHeaderCodec.h"
#include "http/HttpClient.h"

#include <utility>

namespace filbertbeam {

class BackendAttempt;

// Maximum size of the head of a backend server's response, in bytes.
inline constexpr std::size_t kMaxResponseHead = 32 * 1024;

// Receives the result of an attempt, and the response body in pieces when the
// observer accepts streaming.
class BackendAttemptObserver
{
public:
  virtual ~BackendAttemptObserver() = default;

  // The head of a response has arrived.
  virtual void OnAttemptHead(BackendAttempt& aAttempt) = 0;
  // The complete response has arrived.
  virtual void OnAttemptResponse(BackendAttempt& aAttempt) = 0;
  virtual void OnAttemptFailed(BackendAttempt& aAttempt,
                               const HttpFailure& aFailure) = 0;
  // The response is too large to be buffered, or there is no memory for it.
  // Returns true to receive the rest of its body in pieces; false ends the
  // attempt.
  virtual bool OnAttemptLargeResponse(BackendAttempt& aAttempt) = 0;
  virtual void OnAttemptBody(BackendAttempt& aAttempt, ByteView aBytes) = 0;
  // The connection accepts more of the request body.
  virtual void OnAttemptWritable(BackendAttempt& aAttempt) = 0;
};

// One attempt to send a request to one backend server. Buffers the response
// until it is complete, so that a truncated response can be replaced by that of
// a further attempt.
class BackendAttempt final
  : public HttpResponseObserver
  , public std::enable_shared_from_this<BackendAttempt>
{
public:
  BackendAttempt(std::weak_ptr<BackendAttemptObserver> aObserver,
                 const ExchangeHeaderCodec& aHeaderCodec,
                 std::string aRequestId,
                 const BackendServerRecord& aServer,
                 const SelectionHandle& aHandle,
                 MemoryBudget& aMemory,
                 Instant aNow);

  // aBody is the part of the request body that has been received so far.
  void Start(HttpClient& aClient,
             const HttpRequestHead& aHead,
             const HttpClientOptions& aOptions,
             std::string_view aBody,
             bool aIsBodyComplete);
  void SendBody(ByteView aBytes);
  void FinishBody();
  // The observer is not called after this.
  void Cancel();

  const BackendServerRecord& Server() const { return server_; }
  const SelectionHandle& Handle() const { return handle_; }
  Instant StartedAt() const { return startedAt_; }
  // The connection of the attempt, for logs.
  const ConnectionUse& Connection() const { return connection_; }
  // False only if no byte of the request was passed to the operating system.
  // Final after Cancel.
  bool AnyByteSent() const;
  std::size_t UnsentBytes() const;
  const HttpResponseHead& Head() const { return head_; }
  const std::string& Body() const { return body_; }
  // Returns the body that has been buffered, which is then empty.
  std::string TakeBody() { return std::exchange(body_, {}); }
  // The memory that is reserved for the body.
  MemoryReservation& Memory() { return memory_; }
  void PauseResponse();
  void ResumeResponse();

  void OnRequestSent() override;
  void OnRequestWritable() override;
  bool IsOwnResponse(const HttpResponseHead& aHead) override;
  std::string RequestIdOf(const HttpResponseHead& aHead) const override;
  bool HasServerMark(const HttpResponseHead& aHead) const override;
  bool AllowsReuseAfter(const HttpResponseHead& aHead) const override;
  void OnResponseHead(const HttpResponseHead& aHead) override;
  void OnResponseBody(ByteView aBytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(const HttpFailure& aFailure) override;

private:
  std::weak_ptr<BackendAttemptObserver> observer_;
  const ExchangeHeaderCodec& headerCodec_;
  const std::string requestId_;
  const BackendServerRecord server_;
  const SelectionHandle handle_;
  const Instant startedAt_;
  std::shared_ptr<HttpClientExchange> exchange_;
  ConnectionUse connection_;
  HttpResponseHead head_;
  std::string body_;
  MemoryReservation memory_;
  bool isStreaming_ = false;
};

} // namespace filbertbeam
