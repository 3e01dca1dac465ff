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

// One request of a caller: admission, claim, relay with retries, response.
// Kept alive by its exchange with the caller and by the running attempt.
class EntrySession final
  : public HttpRequestObserver
  , public RelayAttemptObserver
  , public std::enable_shared_from_this<EntrySession>
{
public:
  // aContext is copied where it may change; its references outlive sessions.
  EntrySession(std::shared_ptr<HttpServerExchange> aExchange,
               const EntryContext& aContext);

  // Checks the head; answers at once where it is refused.
  void Start();

  void OnRequestBody(ByteView aBytes) override;
  void OnRequestEnd() override;
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
    // Collects the body, as far as it is kept for retries.
    Collecting,
    Claiming,
    Relaying,
    Responding,
    Done,
  };

  // Why an attempt, or the request as a whole, got no response from a backend
  // server.
  struct Rejection
  {
    int status = 503;
    std::string reason;
    Outcome outcome = Outcome::NotRun;
  };

  // The body is complete, or more than what is kept for retries.
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

  // Sends a problem report and ends the session.
  void RespondWithError(const Rejection& aRejection);
  void SendProblem(const ProblemDetails& aProblem);
  // Tells the claim registry what became of the request.
  void SettleClaim(Outcome aOutcome);
  void FinishResponse();
  void RecordServiceLevel(bool aIsFailed);
  void OnDeadline();
  void ReleaseAttempt();

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
  // False as soon as a part of the body was sent that is not kept.
  bool isBodyBuffered_ = true;
  bool isCallerDisconnected_ = false;

  std::optional<std::uint64_t> claimId_;
  int responseStatus_ = 0;
  std::string responseContentType_;
  // The response's body for later tries; nothing when it is too long.
  std::optional<std::string> responseCopy_;

  // An earlier attempt may have run.
  bool mayHaveRun_ = false;
  int attempts_ = 0;
  // Attempts that ended between this host and an owner.
  int ownerFailures_ = 0;
  std::set<std::string, std::less<>> excludedShards_;
  std::shared_ptr<RelayAttempt> attempt_;
  QTimer deadlineTimer_;
  QTimer retryTimer_;
};

} // namespace filbertbeam
