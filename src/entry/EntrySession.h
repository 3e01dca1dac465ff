#pragma once

#include "entry/EntryService.h"
#include "entry/RelayAttempt.h"
#include "entry/RequestProperties.h"
#include "http/ProblemDetails.h"
#include "relay/Outcome.h"

#include <QTimer>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace filbertbeam {

// Handles one request of a caller: admission, claim, relay with retries and
// response. The exchange with the caller and the running attempt keep the
// session alive.
class EntrySession final
  : public HttpRequestObserver
  , public RelayAttemptObserver
  , public std::enable_shared_from_this<EntrySession>
{
public:
  // Copies aContext, since the service may change its own. The objects that it
  // refers to have to outlive the session.
  EntrySession(std::shared_ptr<HttpServerExchange> aExchange,
               const EntryContext& aContext);

  // Validates the request head and refuses an invalid request immediately.
  void Start();

  void OnRequestBody(ByteView aBytes) override;
  void OnRequestEnd() override;
  void OnRequestFailed(const RequestFailure& aFailure) override;
  void OnResponseWritable() override;
  void OnRequestClosed(bool aIsComplete) override;

  void OnAttemptWritable(const RelayAttempt& aAttempt) override;
  void OnAttemptHead(const RelayAttempt& aAttempt,
                     const HttpResponseHead& aHead) override;
  void OnAttemptBody(const RelayAttempt& aAttempt, ByteView aBytes) override;
  void OnAttemptEnd(const RelayAttempt& aAttempt) override;
  void OnAttemptFailed(const RelayAttempt& aAttempt,
                       const HttpFailure& aFailure) override;
  void OnOwnerUnreachable(const RelayAttempt& aAttempt) override;

private:
  enum class Phase
  {
    // Buffers the body up to the size that is kept for retries.
    Collecting,
    Claiming,
    Relaying,
    Responding,
    Done,
  };

  // Describes why an attempt, or the whole request, got no response from a
  // backend server.
  struct Rejection
  {
    int status = 503;
    std::string reason;
    Outcome outcome = Outcome::NotRun;
  };

  // Called when the body is complete or exceeds the size that is kept for
  // retries.
  void Admit();
  void Claim();
  void OnClaimResult(const ClaimResult& aResult);
  void Replay(const ClaimResult& aResult);

  void Relay();
  HttpRequestHead BuildRelayHead(const Shard& aShard) const;
  void SendBufferedBody();
  bool RetryIfAllowed(const Rejection& aRejection);
  bool RetryAtAnotherOwner();
  void OnRejected(const Rejection& aRejection);

  // Sends problem details to the caller and ends the session.
  void RespondWithError(const Rejection& aRejection);
  void SendProblem(const ProblemDetails& aProblem);
  // Releases or abandons the claim, depending on the outcome.
  void SettleClaim(Outcome aOutcome);
  void FinishResponse();
  void RecordServiceLevel(bool aIsFailed);
  void OnDeadline();
  void ReleaseAttempt();
  // Gives up the running attempt, if there is one. Returns false if it is
  // certain that the request has not run in any attempt.
  bool CancelAttempt();

  Duration Remaining() const;

  const EntryContext context_;
  std::shared_ptr<HttpServerExchange> exchange_;
  const std::string requestId_;
  const Instant startedAt_;
  Instant deadline_;
  Phase phase_ = Phase::Collecting;

  RequestProperties properties_;
  RequestClass requestClass_ = RequestClass::InContract;
  bool isClassified_ = false;

  std::string body_;
  bool isBodyComplete_ = false;
  // False once a part of the body was streamed without being buffered.
  bool isBodyBuffered_ = true;
  bool isCallerDisconnected_ = false;

  std::optional<std::uint64_t> claimId_;
  int responseStatus_ = 0;
  std::string responseContentType_;
  // The response body to store with the claim; empty if it is too large.
  std::optional<std::string> responseCopy_;

  // True if an earlier attempt may have run.
  bool mayHaveRun_ = false;
  int attempts_ = 0;
  // Number of attempts that failed between this host and an owner.
  int ownerFailures_ = 0;
  std::set<std::string, std::less<>> excludedShards_;
  std::shared_ptr<RelayAttempt> attempt_;
  QTimer deadlineTimer_;
  QTimer retryTimer_;
};

} // namespace filbertbeam
