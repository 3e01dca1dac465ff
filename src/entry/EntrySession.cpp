#include "entry/EntrySession.h"

#include "base/Digest.h"
#include "base/Log.h"
#include "entry/RefusalReason.h"
#include "relay/RelayFields.h"
#include "relay/RelayRequest.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Request bodies up to this size are buffered so that a retry can send them
// again.
constexpr std::size_t kMaxBufferedBodyBytes = 64 * 1024;
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;

constexpr int kMaxAttempts = 4;

constexpr int kFirstClientError = 400;

// Attempts that fail between hosts never reach a backend server. They are
// retried with doubling delays for about 3 s; within that time the membership
// view names a new owner.
constexpr int kMaxOwnerFailures = 7;
constexpr milliseconds kRetryDelay{ 50 };

// The owner enforces the deadline too and knows whether it sent the request to
// a backend server. The entry host waits this much longer for its response.
constexpr milliseconds kOwnerResponseGrace{ 100 };

// A request whose claim is not decided within this time is refused, so that a
// slow store does not delay callers until their deadlines.
constexpr milliseconds kClaimTimeout{ 2'000 };

std::string
NewRequestId(Random& aRandom)
{
  return fmt::format("{:016x}", aRandom.Next());
}

// Returns what the owner reports in a relayed response.
Outcome
ReportedOutcome(const HttpFields& aFields)
{
  const auto field = aFields.Find(kOutcomeField);
  const std::optional<Outcome> outcome =
    field ? ParseOutcome(*field) : std::nullopt;
  return outcome.value_or(Outcome::Unknown);
}

bool
IsRetryableStatus(int aStatus)
{
  return aStatus == 502 || aStatus == 503 || aStatus == 504;
}

} // namespace

EntrySession::EntrySession(std::shared_ptr<HttpServerExchange> aExchange,
                           const EntryContext& aContext)
  : context_(aContext)
  , exchange_(std::move(aExchange))
  , requestId_(NewRequestId(aContext.random))
  , startedAt_(aContext.clock.Now())
  , deadline_(startedAt_ + kDefaultRequestTimeout)
{
  deadlineTimer_.setSingleShot(true);
  deadlineTimer_.callOnTimeout([this] { OnDeadline(); });
  retryTimer_.setSingleShot(true);
  retryTimer_.callOnTimeout([this] { Relay(); });
}

void
EntrySession::Start()
{
  ++context_.metrics.requests;
  if (!context_.configuration || !context_.fleet->view) {
    RespondWithError({ 503, "not-ready", Outcome::NotRun });
    return;
  }
  if (const auto error = ReadRequestProperties(
        exchange_->Request(), *context_.configuration, properties_)) {
    RespondWithError(
      { error->status, std::string(error->reason), Outcome::NotRun });
    return;
  }
  deadline_ = startedAt_ + properties_.timeout;
  deadlineTimer_.start(std::chrono::ceil<milliseconds>(Remaining()));
}

void
EntrySession::OnRequestBody(ByteView aBytes)
{
  switch (phase_) {
    case Phase::Collecting:
      body_.append(aBytes.data(), aBytes.size());
      if (body_.size() > kMaxBufferedBodyBytes) {
        exchange_->PauseRequestBody();
        Admit();
      }
      return;
    case Phase::Claiming:
      // Only bytes that were already read when the pause took effect.
      body_.append(aBytes.data(), aBytes.size());
      return;
    case Phase::Relaying:
    case Phase::Responding:
      if (!attempt_) {
        return;
      }
      attempt_->Exchange().SendBody(aBytes);
      if (attempt_->Exchange().UnsentBytes() > kMaxUnsentBytes) {
        exchange_->PauseRequestBody();
      }
      return;
    case Phase::Done:
      return;
  }
}

void
EntrySession::OnRequestEnd()
{
  isBodyComplete_ = true;
  if (phase_ == Phase::Collecting) {
    Admit();
  } else if (phase_ == Phase::Relaying && attempt_ && !isBodyBuffered_) {
    attempt_->Exchange().FinishBody();
  }
}

void
EntrySession::OnRequestFailed(const RequestFailure& aFailure)
{
  if (phase_ == Phase::Done) {
    return;
  }
  const std::shared_ptr<EntrySession> self = shared_from_this();
  if (phase_ == Phase::Responding) {
    OnAttemptFailed(*attempt_,
                    { HttpFailureKind::Cancelled, true, aFailure.reason });
    return;
  }
  const bool mayHaveRun = CancelAttempt();
  RespondWithError(
    { mayHaveRun ? aFailure.statusIfUnknown : aFailure.statusIfNotRun,
      "incomplete-body",
      mayHaveRun ? Outcome::Unknown : Outcome::NotRun });
}

void
EntrySession::Admit()
{
  requestClass_ =
    context_.limiter.Classify(*properties_.contract, context_.clock.Now());
  isClassified_ = true;
  if (requestClass_ == RequestClass::Excess) {
    ++context_.metrics.excessRequests;
  }
  context_.retryBudget.OnRequest(properties_.service->name,
                                 properties_.contract->customer,
                                 context_.clock.Now());
  if (properties_.idempotencyKey.empty()) {
    Relay();
    return;
  }
  Claim();
}

void
EntrySession::Claim()
{
  phase_ = Phase::Claiming;
  const HttpRequestHead& head = exchange_->Request();
  std::string content = body_;
  if (!isBodyComplete_) {
    content = head.framing == BodyFraming::Length
                ? fmt::format("length {}", head.contentLength)
                : "chunked";
  }
  ClaimRequest request;
  request.customer = properties_.contract->customer;
  request.idempotencyKey = properties_.idempotencyKey;
  request.fingerprint = Sha256Hex(
    fmt::format("{}\n{}\n{}", head.method, head.target, Sha256Hex(content)));
  const Instant deadline =
    std::min(deadline_, context_.clock.Now() + kClaimTimeout);
  context_.claims.Claim(
    request, deadline, [self = shared_from_this()](const ClaimResult& aResult) {
      self->OnClaimResult(aResult);
    });
}

void
EntrySession::OnClaimResult(const ClaimResult& aResult)
{
  if (aResult.decision == ClaimDecision::Granted) {
    claimId_ = aResult.claimId;
  }
  if (phase_ != Phase::Claiming) {
    // The caller disconnected or the deadline passed in the meantime, and
    // nothing was sent to an owner.
    SettleClaim(Outcome::NotRun);
    return;
  }
  switch (aResult.decision) {
    case ClaimDecision::Granted:
      responseCopy_.emplace();
      Relay();
      return;
    case ClaimDecision::AlreadyRan:
      Replay(aResult);
      return;
    case ClaimDecision::Undecided:
      RespondWithError({ 409, "earlier-try-undecided", Outcome::Unknown });
      return;
    case ClaimDecision::FingerprintMismatch:
      RespondWithError({ 422, "idempotency-key-reused", Outcome::NotRun });
      return;
    case ClaimDecision::StoreUnavailable:
      RespondWithError({ 503, "claim-store-unavailable", Outcome::NotRun });
      return;
  }
}

void
EntrySession::Replay(const ClaimResult& aResult)
{
  if (!aResult.response) {
    RespondWithError({ 409, "already-ran", Outcome::Ran });
    return;
  }
  ++context_.metrics.replayedResponses;
  phase_ = Phase::Done;
  deadlineTimer_.stop();
  HttpResponseHead head;
  head.status = aResult.response->status;
  if (!aResult.response->contentType.empty()) {
    head.fields.Set("Content-Type", aResult.response->contentType);
  }
  head.fields.Set("Idempotency-Replayed", "true");
  head.fields.Set("X-Request-Id", requestId_);
  SendWholeResponse(*exchange_, head, aResult.response->body);
  RecordServiceLevel(false);
}

Duration
EntrySession::Remaining() const
{
  return deadline_ - context_.clock.Now();
}

HttpRequestHead
EntrySession::BuildRelayHead(const Shard& aShard) const
{
  HttpRequestHead head = exchange_->Request();
  StripRelayFields(head.fields);
  // The API key is a secret of the caller and the fleet; backend servers must
  // not receive it.
  head.fields.Remove("X-Api-Key");
  head.fields.Remove("Authorization");
  head.fields.Remove("Expect");
  RelayRequest request;
  request.shard = aShard.key;
  request.customer = properties_.contract->customer;
  request.promise = properties_.contract->requestsPerSecond;
  request.requestClass = requestClass_;
  request.isIdempotent = properties_.isIdempotent;
  request.remaining = std::chrono::floor<milliseconds>(Remaining());
  request.requestId = requestId_;
  WriteRelayFields(request, head.fields);
  return head;
}

void
EntrySession::Relay()
{
  if (phase_ == Phase::Done) {
    return;
  }
  phase_ = Phase::Relaying;
  const MembershipView& view = *context_.fleet->view;
  const Shard* shard = context_.selector.Choose(
    context_.configuration->ShardsOf(properties_.service->name),
    view.Self(),
    excludedShards_);
  const Member* owner =
    shard ? view.OwnerOfShard(shard->key, shard->region, shard->domain)
          : nullptr;
  if (!shard || !owner) {
    RespondWithError(
      { 503, shard ? "no-owner" : "no-backend-server", Outcome::NotRun });
    return;
  }
  if (Remaining() < milliseconds(1)) {
    RespondWithError({ 504, "deadline-passed", Outcome::NotRun });
    return;
  }
  ++attempts_;
  HttpRequestHead head = BuildRelayHead(*shard);
  context_.signer.Sign(head, *owner);
  attempt_ = std::make_shared<RelayAttempt>(
    shared_from_this(), shard->key, context_.activeRelays);
  context_.selector.OnRelayed(shard->key);
  attempt_->Start(context_.client, *owner, head);
  deadlineTimer_.start(
    std::chrono::ceil<milliseconds>(Remaining() + kOwnerResponseGrace));
  SendBufferedBody();
}

void
EntrySession::SendBufferedBody()
{
  if (!body_.empty()) {
    attempt_->Exchange().SendBody(body_);
  }
  if (isBodyComplete_) {
    attempt_->Exchange().FinishBody();
    return;
  }
  // The rest of the body is streamed without being buffered.
  isBodyBuffered_ = false;
  body_.clear();
  body_.shrink_to_fit();
  exchange_->ResumeRequestBody();
}

void
EntrySession::OnAttemptWritable(const RelayAttempt&)
{
  exchange_->ResumeRequestBody();
}

void
EntrySession::OnResponseWritable()
{
  if (attempt_) {
    attempt_->Exchange().ResumeResponseBody();
  }
}

void
EntrySession::OnAttemptHead(const RelayAttempt& aAttempt,
                            const HttpResponseHead& aHead)
{
  if (const auto field = aHead.fields.Find(kLoadField)) {
    if (const auto load = ParseRelayLoad(*field)) {
      context_.selector.OnLoadReport(aAttempt.Shard(), *load);
    }
  }
  const Outcome outcome = ReportedOutcome(aHead.fields);
  const auto refusal = aHead.fields.Find(kRefusalField);
  if (refusal && aHead.status < kFirstClientError) {
    // The caller would take it for the response to the request.
    OnRejected({ 502, "malformed-owner-response", Outcome::Unknown });
    return;
  }
  if (refusal) {
    // A signature that the owner rejects is an error between hosts, not an
    // error of the caller, so the caller gets a 503.
    const int status = refusal == kNotAuthentic ? 503 : aHead.status;
    OnRejected({ status, std::string(*refusal), outcome });
    return;
  }
  if (outcome != Outcome::Ran) {
    // Sent by something other than a session of the owner, for example by its
    // HTTP server, which doesn't know what became of the request.
    OnRejected({ 502, "malformed-owner-response", Outcome::Unknown });
    return;
  }
  if (IsRetryableStatus(aHead.status) &&
      RetryIfAllowed({ aHead.status, "backend-error", Outcome::Unknown })) {
    return;
  }

  phase_ = Phase::Responding;
  responseStatus_ = aHead.status;
  responseContentType_ = aHead.fields.Find("Content-Type").value_or("");
  const Duration total = context_.clock.Now() - startedAt_;
  std::int64_t backendMicroseconds = 0;
  if (const auto field = aHead.fields.Find(kBackendTimeField)) {
    std::from_chars(
      field->data(), field->data() + field->size(), backendMicroseconds);
  }
  context_.metrics.addedLatency.Record(std::max(
    total - std::chrono::microseconds(backendMicroseconds), Duration::zero()));
  if (isCallerDisconnected_) {
    return;
  }
  HttpResponseHead head = aHead;
  StripRelayFields(head.fields);
  head.fields.Set("X-Request-Id", requestId_);
  exchange_->SendHead(head);
}

void
EntrySession::OnAttemptBody(const RelayAttempt&, ByteView aBytes)
{
  if (phase_ != Phase::Responding) {
    return;
  }
  if (responseCopy_) {
    responseCopy_->append(aBytes.data(), aBytes.size());
    if (responseCopy_->size() > kMaxStoredResponseBytes) {
      responseCopy_.reset();
    }
  }
  if (isCallerDisconnected_) {
    return;
  }
  exchange_->SendBody(aBytes);
  if (exchange_->UnsentBytes() > kMaxUnsentBytes) {
    attempt_->Exchange().PauseResponseBody();
  }
}

void
EntrySession::OnAttemptEnd(const RelayAttempt&)
{
  if (phase_ != Phase::Responding) {
    return;
  }
  if (!isCallerDisconnected_) {
    exchange_->Finish();
  }
  FinishResponse();
}

void
EntrySession::FinishResponse()
{
  phase_ = Phase::Done;
  deadlineTimer_.stop();
  if (claimId_) {
    std::optional<StoredResponse> stored;
    if (responseCopy_) {
      stored = StoredResponse{ responseStatus_,
                               responseContentType_,
                               std::move(*responseCopy_) };
    }
    context_.claims.Complete(
      *std::exchange(claimId_, std::nullopt), responseStatus_, stored);
  }
  context_.metrics.totalLatency.Record(context_.clock.Now() - startedAt_);
  constexpr int kFirstServerError = 500;
  RecordServiceLevel(responseStatus_ >= kFirstServerError);
  ReleaseAttempt();
}

void
EntrySession::OnAttemptFailed(const RelayAttempt& aAttempt,
                              const HttpFailure& aFailure)
{
  if (phase_ == Phase::Responding) {
    // A truncated response must not look complete to the caller, so its
    // connection is aborted.
    ++context_.metrics.truncatedResponses;
    responseCopy_.reset();
    responseStatus_ = std::max(responseStatus_, 1);
    if (!isCallerDisconnected_) {
      exchange_->Abort();
    }
    if (claimId_) {
      context_.claims.Complete(
        *std::exchange(claimId_, std::nullopt), responseStatus_, std::nullopt);
    }
    phase_ = Phase::Done;
    deadlineTimer_.stop();
    RecordServiceLevel(true);
    ReleaseAttempt();
    return;
  }
  LogEvent(LogLevel::Info,
           "relay_failed",
           { { "request", requestId_ },
             { "shard", aAttempt.Shard() },
             { "sent", aFailure.anyByteSent },
             { "reason", aFailure.reason } });
  if (aFailure.anyByteSent) {
    OnRejected({ 502, "owner-connection-lost", Outcome::Unknown });
    return;
  }
  OnRejected({ 503, "owner-unreachable", Outcome::NotRun });
}

bool
EntrySession::RetryIfAllowed(const Rejection& aRejection)
{
  mayHaveRun_ = mayHaveRun_ || aRejection.outcome != Outcome::NotRun;
  const bool isSafe =
    properties_.isIdempotent || aRejection.outcome == Outcome::NotRun;
  const bool isPossible =
    isBodyBuffered_ && isBodyComplete_ && !isCallerDisconnected_ &&
    aRejection.reason != "deadline-passed" && Remaining() > kRetryDelay;
  if (!isSafe || !isPossible) {
    return false;
  }
  if (MayRunAtAnotherOwner(aRejection.reason)) {
    return RetryAtAnotherOwner();
  }
  if (MayRunOnAnotherShard(aRejection.reason)) {
    excludedShards_.insert(attempt_->Shard());
  }
  const std::size_t shards =
    context_.configuration->ShardsOf(properties_.service->name).size();
  if (attempts_ >= kMaxAttempts || excludedShards_.size() >= shards ||
      !context_.retryBudget.TryRetry(properties_.service->name,
                                     properties_.contract->customer,
                                     context_.clock.Now())) {
    return false;
  }
  ++context_.metrics.retries;
  ReleaseAttempt();
  Relay();
  return true;
}

bool
EntrySession::RetryAtAnotherOwner()
{
  if (++ownerFailures_ > kMaxOwnerFailures) {
    return false;
  }
  context_.selector.OnOwnerFailed(attempt_->Shard());
  excludedShards_.insert(attempt_->Shard());
  ReleaseAttempt();
  ++context_.metrics.retries;
  const std::size_t shards =
    context_.configuration->ShardsOf(properties_.service->name).size();
  if (excludedShards_.size() < shards) {
    Relay();
    return true;
  }
  // The owners of all shards failed. The membership view is expected to change
  // within seconds, so the shards are tried again after a delay.
  excludedShards_.clear();
  const milliseconds delay = kRetryDelay * (1 << (ownerFailures_ - 1));
  retryTimer_.start(std::min(
    delay, std::chrono::floor<milliseconds>(Remaining() - kRetryDelay / 2)));
  return true;
}

void
EntrySession::OnOwnerUnreachable(const RelayAttempt& aAttempt)
{
  // The connection may still work, so a request that must not run twice keeps
  // waiting for its response.
  if (!properties_.isIdempotent || phase_ != Phase::Relaying ||
      attempt_.get() != &aAttempt) {
    return;
  }
  RetryIfAllowed({ 502, "owner-unreachable", Outcome::Unknown });
}

void
EntrySession::OnRejected(const Rejection& aRejection)
{
  if (RetryIfAllowed(aRejection)) {
    return;
  }
  RespondWithError(aRejection);
}

void
EntrySession::RespondWithError(const Rejection& aRejection)
{
  // An earlier attempt may have run even if the last one did not.
  const Outcome outcome = mayHaveRun_ && aRejection.outcome == Outcome::NotRun
                            ? Outcome::Unknown
                            : aRejection.outcome;
  phase_ = Phase::Done;
  deadlineTimer_.stop();
  retryTimer_.stop();
  ReleaseAttempt();
  SettleClaim(outcome);
  if (outcome == Outcome::NotRun) {
    ++context_.metrics.refusedNotRun;
    if (isClassified_ && requestClass_ == RequestClass::InContract) {
      context_.limiter.Refund(properties_.contract->customer,
                              context_.clock.Now());
    }
  } else if (outcome == Outcome::Unknown) {
    ++context_.metrics.unknownOutcomes;
  }
  constexpr int kTooManyRequests = 429;
  constexpr int kFirstServerError = 500;
  const bool isOverload =
    aRejection.status == kTooManyRequests || aRejection.status == 503;
  RecordServiceLevel(aRejection.status >= kFirstServerError ||
                     (aRejection.status == kTooManyRequests &&
                      requestClass_ == RequestClass::InContract));

  ProblemDetails problem;
  problem.status = aRejection.status;
  problem.title = aRejection.reason;
  problem.detail = DetailOf(aRejection.reason);
  problem.outcome = OutcomeName(outcome);
  problem.requestId = requestId_;
  if (isOverload) {
    problem.retryAfter = std::chrono::seconds(1);
  }
  const std::string text =
    fmt::format("request {} refused: status {}, {}, outcome {}",
                requestId_,
                problem.status,
                problem.title,
                problem.outcome);
  if (properties_.contract) {
    context_.events.Record(
      EventSubject::Customer, properties_.contract->customer, text);
  }
  context_.events.Record(EventSubject::Request, requestId_, text);
  LogEvent(
    LogLevel::Info,
    "request_refused",
    { { "request", requestId_ },
      { "customer",
        properties_.contract ? properties_.contract->customer : "" },
      { "service", properties_.service ? properties_.service->name : "" },
      { "status", problem.status },
      { "reason", problem.title },
      { "outcome", problem.outcome } });
  if (!isCallerDisconnected_) {
    SendProblem(problem);
  }
}

void
EntrySession::SendProblem(const ProblemDetails& aProblem)
{
  HttpResponseHead head = ProblemHead(aProblem);
  head.fields.Set("X-Request-Id", requestId_);
  SendWholeResponse(*exchange_, head, ProblemBody(aProblem));
}

void
EntrySession::SettleClaim(Outcome aOutcome)
{
  if (!claimId_) {
    return;
  }
  const std::uint64_t claim = *std::exchange(claimId_, std::nullopt);
  if (aOutcome == Outcome::NotRun) {
    context_.claims.Release(claim);
  } else {
    context_.claims.Abandon(claim);
  }
}

void
EntrySession::RecordServiceLevel(bool aIsFailed)
{
  if (!properties_.contract || !properties_.service) {
    return;
  }
  context_.serviceLevel.Record(properties_.service->name,
                               properties_.contract->customer,
                               aIsFailed,
                               context_.clock.Now());
}

void
EntrySession::ReleaseAttempt()
{
  if (!attempt_) {
    return;
  }
  const std::shared_ptr<RelayAttempt> attempt =
    std::exchange(attempt_, nullptr);
  context_.selector.OnCompleted(attempt->Shard());
  attempt->Cancel();
}

bool
EntrySession::CancelAttempt()
{
  const std::shared_ptr<RelayAttempt> attempt = attempt_;
  ReleaseAttempt();
  // No byte can be sent any more.
  return mayHaveRun_ || (attempt && attempt->AnyByteSent());
}

void
EntrySession::OnDeadline()
{
  const std::shared_ptr<EntrySession> self = shared_from_this();
  if (phase_ == Phase::Responding) {
    OnAttemptFailed(*attempt_,
                    { HttpFailureKind::Cancelled, true, "deadline passed" });
    return;
  }
  const bool mayHaveRun = CancelAttempt();
  RespondWithError({ 504,
                     "deadline-passed",
                     mayHaveRun ? Outcome::Unknown : Outcome::NotRun });
}

void
EntrySession::OnRequestClosed(bool aIsComplete)
{
  if (aIsComplete || phase_ == Phase::Done) {
    return;
  }
  isCallerDisconnected_ = true;
  // A request with an idempotency key continues without its caller, so that
  // the next request with the key gets the actual outcome instead of
  // "unknown".
  if (claimId_ && attempt_ && isBodyComplete_) {
    attempt_->Exchange().ResumeResponseBody();
    return;
  }
  phase_ = Phase::Done;
  deadlineTimer_.stop();
  retryTimer_.stop();
  SettleClaim(CancelAttempt() ? Outcome::Unknown : Outcome::NotRun);
}

} // namespace filbertbeam
