#include "owner/OwnerSession.h"

#include "http/ProblemDetails.h"
#include "relay/Outcome.h"
#include "relay/RelayFields.h"
#include "relay/RelayLoad.h"

#include <fmt/format.h>

#include <utility>

namespace filbertbeam {

namespace {

// With more unsent bytes than this, reading from the sender is paused until the
// receiver has caught up.
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;

constexpr int kFirstServerError = 500;

// How often a request is queued again after a backend server has shed it.
constexpr int kMaxShedRetries = 3;

// A trial without a response within this time has failed. Its request is queued
// again, so that its caller waits little longer than others.
constexpr std::chrono::milliseconds kTrialTimeout{ 500 };

struct RefusalResponse
{
  int status;
  std::string_view reason;
};

RefusalResponse
ResponseTo(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::QueueFull:
      return { 429, "queue-full" };
    case RefusalReason::WaitExceeded:
      return { 503, "wait-exceeded" };
    case RefusalReason::NoSpareSlot:
      return { 429, "no-spare-slot" };
    case RefusalReason::DeadlinePassed:
      return { 504, "deadline-passed" };
    case RefusalReason::NoBackendServer:
      return { 503, "no-backend-server" };
  }
  return { 503, "refused" };
}

} // namespace

OwnerSession::OwnerSession(std::shared_ptr<HttpServerExchange> aExchange,
                           std::shared_ptr<OwnedShard> aShard,
                           RelayRequest aRequest,
                           std::uint64_t aId,
                           std::optional<int> aShedStatus,
                           const Clock& aClock,
                           HttpClient& aClient)
  : exchange_(std::move(aExchange))
  , shard_(std::move(aShard))
  , request_(std::move(aRequest))
  , id_(aId)
  , shedStatus_(aShedStatus)
  , clock_(aClock)
  , client_(aClient)
  , deadline_(aClock.Now() + request_.remaining)
{
  deadlineTimer_.setSingleShot(true);
  deadlineTimer_.callOnTimeout([this] { OnDeadline(); });
  trialTimer_.setSingleShot(true);
  trialTimer_.callOnTimeout([this] { OnTrialTimeout(); });
}

void
OwnerSession::Start()
{
  // The body stays on the entry host until a backend server is assigned.
  exchange_->PauseRequestBody();
  Submit();
}

void
OwnerSession::Submit()
{
  ShardRequest request;
  request.id = id_;
  request.customer = request_.customer;
  request.promise = request_.promise;
  request.requestClass = request_.requestClass;
  request.isIdempotent = request_.isIdempotent;
  request.deadline = deadline_;
  shard_->Submit(request, shared_from_this());
}

HttpRequestHead
OwnerSession::BackendRequestHead(std::chrono::milliseconds aRemaining) const
{
  HttpRequestHead head = exchange_->Request();
  StripRelayFields(head.fields);
  head.fields.Set(kCustomerField, request_.customer);
  head.fields.Set(kBackendRequestIdField, request_.requestId);
  head.fields.Set(kRequestTimeoutField, fmt::format("{}", aRemaining.count()));
  return head;
}

void
OwnerSession::OnAssigned(const BackendServer& aBackendServer, bool aIsTrial)
{
  holdsSlot_ = true;
  if (state_ != State::Queued) {
    EndAttempt(AttemptResult::Cancelled);
    return;
  }
  // The deadline may have passed while the process was suspended; the request
  // must not be sent then.
  assignedAt_ = clock_.Now();
  const auto remaining =
    std::chrono::floor<std::chrono::milliseconds>(deadline_ - assignedAt_);
  if (remaining.count() <= 0) {
    EndAttempt(AttemptResult::Cancelled);
    Refuse(504, "deadline-passed");
    return;
  }
  state_ = State::Running;
  backendServer_ = aBackendServer.name;
  isTrial_ = aIsTrial;
  deadlineTimer_.start(remaining);
  if (aIsTrial) {
    trialTimer_.start(kTrialTimeout);
  }

  attempt_ =
    std::make_shared<ServerAttempt>(shared_from_this(), request_.requestId);
  attempt_->Start(client_,
                  { aBackendServer.address, aBackendServer.port },
                  BackendRequestHead(remaining),
                  request_.isIdempotent);
  if (exchange_->Request().framing == BodyFraming::None) {
    attempt_->Exchange().FinishBody();
  }
  exchange_->ResumeRequestBody();
}

void
OwnerSession::OnRefused(RefusalReason aReason)
{
  if (state_ != State::Queued) {
    return;
  }
  const RefusalResponse response = ResponseTo(aReason);
  Refuse(response.status, response.reason);
}

void
OwnerSession::Refuse(int aStatus, std::string_view aReason)
{
  state_ = State::Done;
  const Outcome outcome = mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun;
  ProblemDetails problem;
  problem.status = aStatus;
  problem.title = std::string(aReason);
  problem.outcome = OutcomeName(outcome);
  HttpResponseHead head = ProblemHead(problem);
  head.fields.Set(kRefusalField, aReason);
  head.fields.Set(kOutcomeField, OutcomeName(outcome));
  const ShardLoad load = shard_->Load();
  head.fields.Set(kLoadField,
                  FormatRelayLoad({ load.slots, load.freeSlots, load.queued }));
  if (!backendServer_.empty()) {
    head.fields.Set(kBackendServerField, backendServer_);
  }
  SendWholeResponse(*exchange_, head, ProblemBody(problem));
}

void
OwnerSession::EndAttempt(AttemptResult aResult)
{
  if (attempt_) {
    // Cancelled first, since a byte may be sent until then.
    attempt_->Cancel();
    mayHaveRun_ = mayHaveRun_ || attempt_->MayHaveRun();
    attempt_.reset();
  }
  deadlineTimer_.stop();
  trialTimer_.stop();
  if (!holdsSlot_) {
    return;
  }
  holdsSlot_ = false;
  shard_->Complete(id_, aResult);
}

void
OwnerSession::OnRequestBody(ByteView aBytes)
{
  if (!attempt_) {
    return;
  }
  attempt_->Exchange().SendBody(aBytes);
  if (attempt_->Exchange().UnsentBytes() > kMaxUnsentBytes) {
    exchange_->PauseRequestBody();
  }
}

void
OwnerSession::OnRequestEnd()
{
  if (attempt_ && exchange_->Request().framing != BodyFraming::None) {
    attempt_->Exchange().FinishBody();
  }
}

void
OwnerSession::OnRequestFailed(const RequestFailure& aFailure)
{
  if (state_ == State::Done) {
    return;
  }
  const auto self = shared_from_this();
  const State before = std::exchange(state_, State::Done);
  if (before == State::Queued) {
    shard_->Cancel(id_);
  }
  EndAttempt(AttemptResult::Cancelled);
  if (before == State::Responding) {
    exchange_->Abort();
    return;
  }
  Refuse(mayHaveRun_ ? aFailure.statusIfUnknown : aFailure.statusIfNotRun,
         "incomplete-body");
}

void
OwnerSession::OnRequestWritable()
{
  exchange_->ResumeRequestBody();
}

void
OwnerSession::OnResponseWritable()
{
  if (attempt_) {
    attempt_->Exchange().ResumeResponseBody();
  }
}

void
OwnerSession::OnRequestClosed(bool aIsComplete)
{
  if (aIsComplete || state_ == State::Done) {
    return;
  }
  const State before = std::exchange(state_, State::Done);
  if (before == State::Queued) {
    shard_->Cancel(id_);
    return;
  }
  EndAttempt(AttemptResult::Cancelled);
}

void
OwnerSession::OnRequestSent()
{
  if (holdsSlot_) {
    shard_->OnRequestSent(id_);
  }
}

void
OwnerSession::OnResponseHead(const HttpResponseHead& aHead)
{
  if (state_ != State::Running) {
    return;
  }
  trialTimer_.stop();
  shard_->OnResponseHead(id_);
  if (shedStatus_ && aHead.status == *shedStatus_) {
    attempt_->OnShed(aHead);
    EndAttempt(AttemptResult::Shed);
    OnShed();
    return;
  }
  if (aHead.status >= kFirstServerError && CanRequeueFailedTrial()) {
    EndAttempt(AttemptResult::Failure);
    RequeueFailedTrial();
    return;
  }
  state_ = State::Responding;
  responseStatus_ = aHead.status;
  HttpResponseHead head = aHead;
  // A response that ends with its connection cannot be distinguished from a
  // truncated one on the connection to the entry host, so it is sent chunked.
  if (head.framing == BodyFraming::UntilClose) {
    head.framing = BodyFraming::Chunked;
  }
  StripRelayFields(head.fields);
  head.fields.Set(kOutcomeField, OutcomeName(Outcome::Ran));
  head.fields.Set(kBackendServerField, backendServer_);
  const ShardLoad load = shard_->Load();
  head.fields.Set(kLoadField,
                  FormatRelayLoad({ load.slots, load.freeSlots, load.queued }));
  const auto backendTime =
    std::chrono::duration_cast<std::chrono::microseconds>(clock_.Now() -
                                                          assignedAt_);
  head.fields.Set(kBackendTimeField, fmt::format("{}", backendTime.count()));
  exchange_->SendHead(head);
}

void
OwnerSession::OnShed()
{
  // Without a body, the request can be queued again here; the scheduler pauses
  // sending to the server that shed it. If the response does not prove that the
  // request did not run, the request is idempotent, as others use a new
  // connection.
  const bool hasBody = exchange_->Request().framing != BodyFraming::None;
  if (hasBody || shedRetries_ >= kMaxShedRetries) {
    Refuse(503, "backend-shed");
    return;
  }
  ++shedRetries_;
  state_ = State::Queued;
  Submit();
}

void
OwnerSession::OnResponseBody(ByteView aBytes)
{
  if (state_ != State::Responding) {
    return;
  }
  exchange_->SendBody(aBytes);
  if (exchange_->UnsentBytes() > kMaxUnsentBytes) {
    attempt_->Exchange().PauseResponseBody();
  }
}

void
OwnerSession::OnResponseEnd()
{
  if (state_ != State::Responding) {
    return;
  }
  state_ = State::Done;
  exchange_->Finish();
  EndAttempt(responseStatus_ >= kFirstServerError ? AttemptResult::Failure
                                                  : AttemptResult::Success);
}

void
OwnerSession::OnExchangeFailed(const HttpFailure& aFailure)
{
  // The client gave up the exchange by itself; the deadline ends the request.
  if (aFailure.kind == HttpFailureKind::Cancelled || state_ == State::Done) {
    return;
  }
  const State before = state_;
  EndAttempt(AttemptResult::Failure);
  if (before == State::Responding) {
    state_ = State::Done;
    exchange_->Abort();
    return;
  }
  if (CanRequeueFailedTrial()) {
    RequeueFailedTrial();
    return;
  }
  if (aFailure.anyByteSent) {
    Refuse(502, "backend-connection-lost");
    return;
  }
  Refuse(503, "backend-unreachable");
}

void
OwnerSession::OnTrialTimeout()
{
  if (state_ != State::Running) {
    return;
  }
  const auto self = shared_from_this();
  EndAttempt(AttemptResult::Failure);
  if (CanRequeueFailedTrial()) {
    RequeueFailedTrial();
    return;
  }
  Refuse(502, "trial-failed");
}

bool
OwnerSession::CanRequeueFailedTrial() const
{
  return isTrial_ && !hasFailedTrial_ && request_.isIdempotent &&
         exchange_->Request().framing == BodyFraming::None;
}

void
OwnerSession::RequeueFailedTrial()
{
  // The server was ejected, and this request was only chosen to test it. It is
  // queued again, once, for a server that is in use.
  isTrial_ = false;
  hasFailedTrial_ = true;
  state_ = State::Queued;
  Submit();
}

void
OwnerSession::OnDeadline()
{
  if (state_ == State::Done) {
    return;
  }
  const auto self = shared_from_this();
  // The caller chooses the deadline, so it says nothing about the backend
  // server. A slow server is detected by the age of its pending requests.
  const State before = state_;
  EndAttempt(AttemptResult::Cancelled);
  if (before == State::Responding) {
    state_ = State::Done;
    exchange_->Abort();
    return;
  }
  Refuse(504, "deadline-passed");
}

} // namespace filbertbeam
