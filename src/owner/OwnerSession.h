#pragma once

#include "base/Clock.h"
#include "http/HttpClient.h"
#include "http/HttpServerExchange.h"
#include "owner/OwnedShard.h"
#include "owner/ServerAttempt.h"
#include "relay/RelayRequest.h"

#include <QTimer>

#include <memory>
#include <optional>
#include <string>

namespace filbertbeam {

// A relayed request on the owner: waits for a slot, is sent to one backend
// server at a time and streams the response back. Kept alive by its exchanges
// and by the queue.
class OwnerSession final
  : public HttpRequestObserver
  , public HttpResponseObserver
  , public ScheduledRequest
  , public std::enable_shared_from_this<OwnerSession>
{
public:
  // aClock and aClient have to outlive the session.
  OwnerSession(std::shared_ptr<HttpServerExchange> aExchange,
               std::shared_ptr<OwnedShard> aShard,
               RelayRequest aRequest,
               std::uint64_t aId,
               std::optional<int> aShedStatus,
               const Clock& aClock,
               HttpClient& aClient);

  // Queues the request.
  void Start();

  void OnRequestBody(ByteView aBytes) override;
  void OnRequestEnd() override;
  void OnRequestFailed(const RequestFailure& aFailure) override;
  void OnResponseWritable() override;
  void OnRequestClosed(bool aIsComplete) override;

  void OnAssigned(const BackendServer& aBackendServer, bool aIsTrial) override;
  void OnRefused(RefusalReason aReason) override;

  void OnRequestSent() override;
  void OnRequestWritable() override;
  void OnResponseHead(const HttpResponseHead& aHead) override;
  void OnResponseBody(ByteView aBytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(const HttpFailure& aFailure) override;

private:
  enum class State
  {
    Queued,
    Running,
    Responding,
    Done,
  };

  HttpRequestHead BackendRequestHead(
    std::chrono::milliseconds aRemaining) const;
  // The outcome in the response follows from all attempts, none of which may be
  // running any more.
  void Refuse(int aStatus, std::string_view aReason);
  // Cancels the attempt if it is running, and returns its slot.
  void EndAttempt(AttemptResult aResult);
  void Submit();
  void OnShed();
  void OnDeadline();
  void OnTrialTimeout();
  bool CanRequeueFailedTrial() const;
  void RequeueFailedTrial();

  std::shared_ptr<HttpServerExchange> exchange_;
  std::shared_ptr<OwnedShard> shard_;
  const RelayRequest request_;
  const std::uint64_t id_;
  const std::optional<int> shedStatus_;
  const Clock& clock_;
  HttpClient& client_;

  State state_ = State::Queued;
  Instant deadline_;
  Instant assignedAt_;
  bool holdsSlot_ = false;
  int responseStatus_ = 0;
  int shedRetries_ = 0;
  bool isTrial_ = false;
  bool hasFailedTrial_ = false;
  // True if the request may have run in an attempt that has ended.
  bool mayHaveRun_ = false;
  std::string backendServer_;
  // Null while no attempt is running.
  std::shared_ptr<ServerAttempt> attempt_;
  QTimer deadlineTimer_;
  QTimer trialTimer_;
};

} // namespace filbertbeam
