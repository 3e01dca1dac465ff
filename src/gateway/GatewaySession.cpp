#include "gateway/GatewaySession.h"

#include "base/Log.h"
#include "gateway/LocalResponse.h"
#include "gateway/RequestTimeout.h"
#include "gateway/ResponseProof.h"
#include "http/EndpointText.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kMisdirected = 421;

constexpr std::string_view kNoMemory = "no-memory";

// Bodies of more bytes than this are forwarded while they arrive and cannot be
// sent again.
constexpr std::size_t kMaxBufferedBody = 256 * 1024;
// The caller is paused while more request bytes than this wait for a slow
// server.
constexpr std::size_t kMaxUnsentBody = 256 * 1024;
// A request body is held once for further attempts, and once each for the
// connections of an attempt and its hedge.
constexpr std::size_t kBodyCopies = 3;
// Up to this number, servers that cannot be reached are replaced without being
// counted as attempts.
constexpr int kMaxUnreachableServers = 4;
// A server in the same deployment accepts a connection within a few round
// trips. After this time it is treated as unreachable and another server is
// tried.
constexpr milliseconds kConnectTimeout{ 180 };
// With less time left, a further attempt cannot complete before the deadline.
constexpr milliseconds kMinAttemptTime{ 20 };
constexpr milliseconds kRetryAfter{ 150 };
// A hedge that was refused is requested again after this time.
constexpr milliseconds kHedgeRetryDelay{ 120 };

// The priority of a contract goes before that of the route.
int
PriorityOf(const Route& aRoute, const Contract* aContract)
{
  return aContract && aContract->priority >= 0 ? aContract->priority
                                               : aRoute.priority;
}

std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

} // namespace

GatewaySession::GatewaySession(GatewayContext& aContext,
                               std::shared_ptr<HttpServerExchange> aExchange,
                               const Route& aRoute,
                               Authorization aAuthorization,
                               CallerHeaders aHeaders,
                               MemoryReservation aMemory)
  : context_(aContext)
  , exchange_(std::move(aExchange))
  , routing_(aAuthorization.table)
  , route_(aRoute)
  , authorization_(std::move(aAuthorization))
  , callerHeaders_(std::move(aHeaders))
  , service_(aContext.split.Choose(aRoute, routing_->Version()))
  , arrivedAt_(aContext.clock.Now())
  , deadline_(arrivedAt_ + RequestTimeout(aRoute, callerHeaders_))
  , memory_(std::move(aMemory))
{
  for (QTimer* timer : { &deadlineTimer_, &hedgeTimer_ }) {
    timer->setSingleShot(true);
    timer->setTimerType(Qt::PreciseTimer);
  }
  deadlineTimer_.callOnTimeout([this] { OnDeadline(); });
  hedgeTimer_.callOnTimeout([this] { OnHedgeTimeout(); });
}

GatewaySession::~GatewaySession()
{
  CancelAttempts(AttemptResult::Abandoned);
}

void
GatewaySession::Start(std::optional<QuotaVerdict> aVerdict)
{
  deadlineTimer_.start(std::chrono::ceil<milliseconds>(Remaining()));
  quotaWorkspace_ = authorization_.Workspace();
  if (aVerdict) {
    quotaToken_ = std::move(aVerdict->token);
  } else {
    RequestQuota();
  }
}

void
GatewaySession::RequestQuota()
{
  isWaitingForQuota_ = true;
  context_.selection.Quota().Request(
    quotaWorkspace_,
    [weak = weak_from_this(),
     &quota = context_.selection.Quota(),
     workspace = quotaWorkspace_](const QuotaVerdict& aVerdict) {
      if (const auto self = weak.lock()) {
        self->OnQuotaVerdict(aVerdict);
      } else {
        quota.Return(workspace, aVerdict.token);
      }
    });
}

void
GatewaySession::OnQuotaVerdict(const QuotaVerdict& aVerdict)
{
  isWaitingForQuota_ = false;
  quotaToken_ = aVerdict.token;
  if (isDone_) {
    ReturnQuota();
    return;
  }
  if (!aVerdict.isAdmitted) {
    context_.metrics.Count(GatewayCounter::OverQuota);
    RespondLocally(
      { kOverQuota, kBadGateway, "over-quota", aVerdict.retryAfter });
    return;
  }
  if (std::exchange(isSelectionDeferred_, false)) {
    RequestSelection(AttemptPurpose::First);
  }
}

void
GatewaySession::ReturnQuota()
{
  if (attempts_.SentAttempts() == 0) {
    context_.selection.Quota().Return(quotaWorkspace_,
                                      std::exchange(quotaToken_, {}));
  }
}

Duration
GatewaySession::Remaining() const
{
  return std::max(deadline_ - context_.clock.Now(), Duration::zero());
}

void
GatewaySession::OnRequestBody(ByteView aBytes)
{
  if (isDone_) {
    return;
  }
  if (isBodyStreamed_ && !runningAttempts_.empty()) {
    runningAttempts_.front()->SendBody(aBytes);
    if (runningAttempts_.front()->UnsentBytes() > kMaxUnsentBody) {
      exchange_->PauseRequestBody();
    }
    return;
  }
  if (!ReserveBody(aBytes.size())) {
    return;
  }
  body_.append(aBytes.data(), aBytes.size());
  if (body_.size() > kMaxBufferedBody && !isBodyStreamed_) {
    isBodyStreamed_ = true;
    exchange_->PauseRequestBody();
    RequestSelection(AttemptPurpose::First);
  }
}

bool
GatewaySession::ReserveBody(std::size_t aBytes)
{
  if (memory_.GrowTo(memory_.Bytes() + kBodyCopies * aBytes)) {
    return true;
  }
  context_.metrics.Count(GatewayCounter::OutOfMemory);
  RespondWithFailure(kNoMemory, kRetryAfter);
  return false;
}

void
GatewaySession::OnRequestEnd()
{
  if (isDone_) {
    return;
  }
  isBodyComplete_ = true;
  if (!isBodyStreamed_) {
    RequestSelection(AttemptPurpose::First);
  } else if (!runningAttempts_.empty()) {
    runningAttempts_.front()->FinishBody();
  }
}

void
GatewaySession::OnRequestFailed(const RequestFailure& aFailure)
{
  if (isDone_) {
    return;
  }
  const auto self = shared_from_this();
  CancelAttempts(AttemptResult::Abandoned);
  if (streamingAttempt_ != nullptr) {
    exchange_->Abort();
    Close(0, "cut", aFailure.reason);
    return;
  }
  CountFailure();
  RespondLocally(
    { aFailure.statusIfNotRun, aFailure.statusIfUnknown, aFailure.reason });
}

SelectionRequest
GatewaySession::MakeSelectionRequest(AttemptPurpose aPurpose) const
{
  SelectionRequest request;
  request.service = service_;
  request.route = route_.name;
  request.purpose = aPurpose;
  request.isIdempotent = route_.isIdempotent;
  request.hasLargeResponses = route_.hasLargeResponses;
  request.priority = PriorityOf(route_, authorization_.contract);
  request.latencyObjective = route_.latencyObjective;
  request.remaining = Remaining();
  request.excluded = ExcludedServers();
  request.avoided = context_.paths.AvoidedServers(context_.clock.Now());
  return request;
}

std::vector<std::string>
GatewaySession::ExcludedServers() const
{
  // The servers that were tried come last, where a query keeps them when it has
  // no room for all.
  const auto& servers = context_.directory->ServersOfService(service_);
  std::vector<std::string> excluded =
    context_.availability.UnavailableServers(servers, context_.clock.Now());
  const std::vector<std::string>& tried = attempts_.TriedServers();
  for (const BackendServerRecord* server : servers) {
    if (attempts_.HasTried(server->address) &&
        std::ranges::find(tried, server->id) == tried.end()) {
      excluded.push_back(server->id);
    }
  }
  excluded.insert(excluded.end(), tried.begin(), tried.end());
  return excluded;
}

bool
GatewaySession::IsUsable(const BackendServerRecord* aServer) const
{
  return aServer != nullptr && !aServer->isDraining &&
         aServer->service == service_ &&
         !attempts_.HasTried(aServer->address) &&
         context_.availability.IsAvailable(*aServer, context_.clock.Now());
}

void
GatewaySession::RequestSelection(AttemptPurpose aPurpose)
{
  if (isWaitingForQuota_) {
    isSelectionDeferred_ = true;
    return;
  }
  const auto unavailability = context_.availability.CheckAll(
    context_.directory->ServersOfService(service_),
    context_.random,
    context_.clock.Now());
  if (unavailability) {
    OnNoSelection(aPurpose, unavailability->reason, unavailability->retryAfter);
    return;
  }
  isSelecting_ = true;
  const std::uint64_t id = context_.selection.Select(
    MakeSelectionRequest(aPurpose),
    [weak = weak_from_this(), &selection = context_.selection, aPurpose](
      const SelectionOutcome& aOutcome) {
      if (const auto self = weak.lock()) {
        self->OnSelection(aPurpose, aOutcome);
      } else {
        selection.Finish(aOutcome.handle, AttemptResult::Unused);
      }
    });
  // The callback may have requested another selection already.
  selectionId_ = std::max(selectionId_, id);
}

void
GatewaySession::OnSelection(AttemptPurpose aPurpose,
                            const SelectionOutcome& aOutcome)
{
  isSelecting_ = false;
  if (isDone_ || streamingAttempt_ != nullptr) {
    context_.selection.Finish(aOutcome.handle, AttemptResult::Unused);
    return;
  }
  if (Remaining() == Duration::zero()) {
    // The host was paused, and the deadline timer has not fired yet.
    context_.selection.Finish(aOutcome.handle, AttemptResult::Unused);
    OnDeadline();
    return;
  }
  if (!aOutcome.result.selection) {
    OnNoSelection(aPurpose, aOutcome.result.reason, aOutcome.result.retryAfter);
    return;
  }
  const bool isAuthorized = IsStillAuthorized();
  if (authorization_.needsKeys &&
      !context_.keys.MayJudge(context_.clock.Now())) {
    context_.selection.Finish(aOutcome.handle, AttemptResult::Unused);
    OnNoSelection(aPurpose, kKeysNotCurrent, kKeysNotCurrentRetryAfter);
    return;
  }
  if (!isAuthorized) {
    context_.selection.Finish(aOutcome.handle, AttemptResult::Unused);
    OnUnauthorized();
    return;
  }
  const BackendServerRecord* server =
    context_.directory->Find(aOutcome.result.selection->backendServer);
  if (!IsUsable(server)) {
    // The owner's directory is older than that of this host, or a server has
    // stated meanwhile that it wants no request.
    context_.metrics.Count(GatewayCounter::UnusableChoices);
    context_.selection.Finish(aOutcome.handle, AttemptResult::Unused);
    if (aOutcome.source == "owner") {
      OnSelection(
        aPurpose,
        context_.selection.SelectWithoutOwner(MakeSelectionRequest(aPurpose)));
      return;
    }
    OnNoSelection(aPurpose, "no-backend-server", kRetryAfter);
    return;
  }
  StartAttempt(*server, aOutcome, aPurpose);
}

bool
GatewaySession::IsStillAuthorized()
{
  if (context_.routing != authorization_.table) {
    // A request whose route is gone ends on the one that it began with.
    const Route* route = FindRoute(*context_.routing, exchange_->Request());
    authorization_ =
      Authorize(context_.routing, route ? *route : route_, callerHeaders_);
  }
  return authorization_.isGranted;
}

void
GatewaySession::OnUnauthorized()
{
  // An attempt that is running began while the key was valid.
  if (!runningAttempts_.empty()) {
    return;
  }
  constexpr std::string_view kReason = "unknown-key";
  if (failureHead_) {
    RespondWithFailure(kReason, {});
    return;
  }
  if (attempts_.MayHaveRun()) {
    CountFailure();
  } else {
    context_.metrics.Count(GatewayCounter::Unauthorized);
  }
  RespondLocally({ kUnauthorized, kBadGateway, kReason });
}

void
GatewaySession::OnNoSelection(AttemptPurpose aPurpose,
                              std::string_view aReason,
                              Duration aRetryAfter)
{
  const bool isHedge = aPurpose == AttemptPurpose::Hedge;
  if (!runningAttempts_.empty()) {
    // Request it again later: the owner allows a hedge earlier once it suspects
    // the server.
    if (isHedge) {
      hedgeTimer_.start(kHedgeRetryDelay);
    }
    return;
  }
  if (isHedge) {
    // The first attempt has failed in the meantime.
    RetryOrRespond(AttemptPurpose::Retry, aReason);
  } else {
    RespondWithFailure(aReason, aRetryAfter);
  }
}

void
GatewaySession::StartAttempt(const BackendServerRecord& aServer,
                             const SelectionOutcome& aOutcome,
                             AttemptPurpose aPurpose)
{
  HttpRequestHead head = exchange_->Request();
  const bool isWhole = isBodyComplete_ && !isBodyStreamed_;
  if (isWhole && head.framing == BodyFraming::Chunked) {
    head.framing = BodyFraming::Length;
    head.contentLength = body_.size();
  }
  context_.headerCodec.WriteAttemptHeaders(head,
                                           { aServer.id,
                                             Remaining(),
                                             authorization_.HasWorkspaces(),
                                             authorization_.Workspace() });
  const auto attempt =
    std::make_shared<BackendAttempt>(weak_from_this(),
                                     context_.headerCodec,
                                     callerHeaders_.requestId,
                                     aServer,
                                     aOutcome.handle,
                                     context_.memory,
                                     context_.clock.Now());
  runningAttempts_.push_back(attempt);
  attempts_.OnStarted(aServer.id, aServer.address);
  lastSelectionSource_ = aOutcome.source;
  context_.metrics.Count(GatewayCounter::Attempts);
  if (aPurpose == AttemptPurpose::Retry) {
    context_.metrics.Count(GatewayCounter::Retries);
  } else if (aPurpose == AttemptPurpose::Hedge) {
    context_.metrics.Count(GatewayCounter::Hedges);
  }
  if (aOutcome.source == "alone") {
    context_.metrics.Count(GatewayCounter::ChosenWithoutOwner);
  }
  HttpClientOptions options;
  // A request on an idle connection to a server that has died is lost. On a new
  // connection it is known not to have been sent.
  options.freshConnection =
    !route_.isIdempotent && !aOutcome.result.selection->hasRespondedRecently;
  options.requestId = callerHeaders_.requestId;
  options.connectTimeout =
    std::min(kConnectTimeout, std::chrono::ceil<milliseconds>(Remaining()));
  attempt->Start(context_.client, head, options, body_, isBodyComplete_);
  if (isBodyStreamed_) {
    body_ = {};
    exchange_->ResumeRequestBody();
  }
  if (MayStartExtraAttempt() && runningAttempts_.size() == 1) {
    hedgeTimer_.start(
      std::chrono::ceil<milliseconds>(aOutcome.result.selection->hedgeAfter));
  }
}

bool
GatewaySession::MayStartExtraAttempt() const
{
  return (route_.isIdempotent || !attempts_.MayHaveRun()) && !isBodyStreamed_ &&
         streamingAttempt_ == nullptr &&
         attempts_.SentAttempts() < route_.maxAttempts &&
         Remaining() > kMinAttemptTime;
}

void
GatewaySession::OnHedgeTimeout()
{
  if (isDone_ || isSelecting_ || !route_.isIdempotent ||
      !MayStartExtraAttempt() || runningAttempts_.size() != 1) {
    return;
  }
  RequestSelection(AttemptPurpose::Hedge);
}

void
GatewaySession::RetryOrRespond(AttemptPurpose aPurpose,
                               std::string_view aReason)
{
  if (!runningAttempts_.empty() || isSelecting_) {
    return;
  }
  if (MayStartExtraAttempt() &&
      attempts_.UnreachableAttempts() < kMaxUnreachableServers) {
    RequestSelection(aPurpose);
    return;
  }
  RespondWithFailure(aReason, kRetryAfter);
}

void
GatewaySession::RespondWithFailure(std::string_view aReason,
                                   Duration aRetryAfter)
{
  if (failureHead_) {
    const HttpResponseHead head = *std::exchange(failureHead_, std::nullopt);
    SendWholeResponse(*exchange_, head, failureBody_);
    Close(head.status, "backend-failed", aReason);
    return;
  }
  CountFailure();
  RespondLocally(
    { kUnavailable,
      kBadGateway,
      aReason,
      aRetryAfter > Duration::zero() ? aRetryAfter : kRetryAfter });
}

void
GatewaySession::CountFailure()
{
  context_.metrics.Count(attempts_.MayHaveRun()
                           ? GatewayCounter::FailedUnknown
                           : GatewayCounter::RefusedNotRun);
}

void
GatewaySession::RespondLocally(const LocalOutcome& aOutcome)
{
  const bool mayHaveRun = attempts_.MayHaveRun();
  forwarded_ = {};
  LocalResponse response;
  response.status =
    mayHaveRun ? aOutcome.statusIfUnknown : aOutcome.statusIfNotRun;
  response.reason = aOutcome.reason;
  if (!mayHaveRun) {
    response.retryAfter = aOutcome.retryAfter;
  }
  SendLocalResponse(*exchange_, context_.headerCodec, callerHeaders_, response);
  Close(response.status, mayHaveRun ? "unknown" : "not-run", aOutcome.reason);
}

void
GatewaySession::OnDeadline()
{
  if (isDone_) {
    return;
  }
  const auto self = shared_from_this();
  CancelAttempts(AttemptResult::NoResponse);
  context_.metrics.Count(GatewayCounter::TimedOut);
  if (streamingAttempt_ != nullptr) {
    exchange_->Abort();
    Close(0, "cut", "timeout");
    return;
  }
  RespondLocally({ kUnavailable, kGatewayTimeout, "timeout", kRetryAfter });
}

void
GatewaySession::OnAttemptHead(BackendAttempt& aAttempt)
{
  const HttpResponseHead& head = aAttempt.Head();
  const ResponseHeaders headers =
    context_.headerCodec.ReadResponseHeaders(head);
  // Only a response to this request is known to be a statement of the server,
  // and one with this status comes from another server at its address.
  if (callerHeaders_.requestId.empty() ||
      !IsResponseTo(callerHeaders_, headers) || head.status == kMisdirected) {
    return;
  }
  const BackendServerRecord& server = aAttempt.Server();
  const std::string& request = callerHeaders_.requestId;
  if (headers.isLeaving && context_.availability.OnLeaving(server, request)) {
    context_.client.CloseIdleConnections(server.address);
  }
  if (head.status == kUnavailable && headers.retryAfter) {
    context_.availability.OnPause(
      server, request, *headers.retryAfter, context_.clock.Now());
  }
}

void
GatewaySession::OnAttemptResponse(BackendAttempt& aAttempt)
{
  if (streamingAttempt_.get() == &aAttempt) {
    EndAttempt(aAttempt, AttemptResult::Responded);
    exchange_->Finish();
    Close(aAttempt.Head().status, "answered", "streamed");
    return;
  }
  const HttpResponseHead& head = aAttempt.Head();
  const ResponseHeaders headers =
    context_.headerCodec.ReadResponseHeaders(head);
  context_.paths.OnReached(aAttempt.Server().id);
  if (IsProvenRefusal(callerHeaders_, head, headers)) {
    context_.metrics.Count(GatewayCounter::RefusedAttempts);
    LogAttemptEnd(
      aAttempt, "attempt_refused", head.status, true, "not-executed");
    EndAttempt(aAttempt,
               head.status == kMisdirected ? AttemptResult::WrongServer
                                           : AttemptResult::NotExecuted);
    RetryOrRespond(AttemptPurpose::Retry, "not-executed");
    return;
  }
  if (!IsResponseTo(callerHeaders_, headers) ||
      (IsSuccess(head.status) && !IsVerified(head, headers))) {
    EndAttempt(aAttempt, AttemptResult::Broken);
    RetryOrRespond(AttemptPurpose::Retry, "unproven-response");
    return;
  }
  if (head.status < 500) {
    if (MeansNotRun(head.status)) {
      EndAttempt(aAttempt, AttemptResult::Failed);
      RetryOrRespond(AttemptPurpose::Retry, "unproven-refusal");
      return;
    }
    const AttemptPointer attempt =
      EndAttempt(aAttempt, AttemptResult::Responded);
    CancelAttempts(AttemptResult::Abandoned);
    memory_.Take(attempt->Memory());
    SetForwarded(*attempt, attempt->Body().size());
    SendWholeResponse(*exchange_, head, attempt->Body());
    Close(head.status, "answered", "");
    return;
  }
  const AttemptPointer attempt = EndAttempt(aAttempt, AttemptResult::Failed);
  if (!MeansNotRun(head.status)) {
    SetForwarded(*attempt, attempt->Body().size());
    failureHead_ = head;
    failureBody_ = attempt->TakeBody();
    memory_.Take(attempt->Memory());
  }
  RetryOrRespond(AttemptPurpose::Retry, "backend-failed");
}

void
GatewaySession::OnAttemptFailed(BackendAttempt& aAttempt,
                                const HttpFailure& aFailure)
{
  const std::string server = aAttempt.Server().id;
  LogAttemptEnd(
    aAttempt, "attempt_failed", 0, aFailure.anyByteSent, aFailure.reason);
  if (streamingAttempt_.get() == &aAttempt) {
    EndAttempt(aAttempt, AttemptResult::Broken);
    exchange_->Abort();
    Close(0, "cut", aFailure.reason);
    return;
  }
  if (!aFailure.anyByteSent) {
    EndAttempt(aAttempt, AttemptResult::Unreachable);
    context_.paths.OnUnreachable(server, context_.clock.Now());
    // The attempt is returned to the budget. Its replacement is an extra
    // attempt unless it is the first that reaches a server.
    RetryOrRespond(attempts_.SentAttempts() > 0 ? AttemptPurpose::Retry
                                                : AttemptPurpose::Replacement,
                   "unreachable");
    return;
  }
  EndAttempt(aAttempt, AttemptResult::Broken);
  RetryOrRespond(AttemptPurpose::Retry, "broken-response");
}

void
GatewaySession::LogAttemptEnd(const BackendAttempt& aAttempt,
                              std::string_view aEvent,
                              int aStatus,
                              bool aIsSent,
                              std::string_view aReason) const
{
  const ConnectionUse& use = aAttempt.Connection();
  LogEvent(
    LogLevel::Info,
    aEvent,
    { { "request", callerHeaders_.requestId },
      { "service", service_ },
      { "server", aAttempt.Server().id },
      { "address", FormatEndpoint(aAttempt.Server().address) },
      { "connection", use.connectionNumber },
      { "exchange", use.exchangeNumber },
      { "sent", aIsSent },
      { "status", aStatus },
      { "reason", aReason },
      { "ms", ToMilliseconds(context_.clock.Now() - aAttempt.StartedAt()) } });
}

bool
GatewaySession::OnAttemptLargeResponse(BackendAttempt& aAttempt)
{
  const HttpResponseHead& head = aAttempt.Head();
  const ResponseHeaders headers =
    context_.headerCodec.ReadResponseHeaders(head);
  if (isDone_ || !IsSuccess(head.status) || !IsVerified(head, headers) ||
      !IsResponseTo(callerHeaders_, headers)) {
    EndAttempt(aAttempt, AttemptResult::Broken);
    RetryOrRespond(AttemptPurpose::Retry, "unproven-response");
    return false;
  }
  // The caller may read more slowly than the server sends.
  if (!aAttempt.Memory().GrowTo(
        std::max(aAttempt.Body().size(), kMaxUnsentBody))) {
    OnNoMemory(aAttempt);
    return false;
  }
  // The head of this response is sent to the caller, so no other attempt can be
  // used any more.
  const auto attempt = aAttempt.shared_from_this();
  std::erase(runningAttempts_, attempt);
  CancelAttempts(AttemptResult::Abandoned);
  runningAttempts_.push_back(attempt);
  streamingAttempt_ = attempt;
  hedgeTimer_.stop();
  SetForwarded(*attempt, 0);
  exchange_->SendHead(head);
  StreamBody(attempt->TakeBody());
  return true;
}

void
GatewaySession::OnAttemptBody(BackendAttempt& aAttempt, ByteView aBytes)
{
  if (isDone_) {
    return;
  }
  StreamBody(aBytes);
  const std::size_t unsent = exchange_->UnsentBytes();
  aAttempt.Memory().ShrinkTo(std::max(unsent, kMaxUnsentBody));
  if (unsent > kMaxUnsentBody) {
    aAttempt.PauseResponse();
  }
}

void
GatewaySession::OnNoMemory(BackendAttempt& aAttempt)
{
  context_.metrics.Count(GatewayCounter::OutOfMemory);
  EndAttempt(aAttempt, AttemptResult::Abandoned);
  // Another attempt would need the memory as well; a caller that repeats the
  // request reaches another host.
  if (runningAttempts_.empty() && !isSelecting_) {
    RespondWithFailure(kNoMemory, kRetryAfter);
  }
}

void
GatewaySession::OnAttemptWritable(BackendAttempt&)
{
  if (!isDone_) {
    exchange_->ResumeRequestBody();
  }
}

void
GatewaySession::OnResponseWritable()
{
  if (streamingAttempt_ != nullptr) {
    streamingAttempt_->ResumeResponse();
  }
}

void
GatewaySession::OnRequestClosed(bool aIsComplete)
{
  if (isDone_) {
    return;
  }
  const auto self = shared_from_this();
  if (!aIsComplete) {
    context_.metrics.Count(GatewayCounter::CallerLeft);
  }
  CancelAttempts(AttemptResult::Abandoned);
  Close(0, "caller-left", "");
}

GatewaySession::AttemptPointer
GatewaySession::EndAttempt(BackendAttempt& aAttempt, AttemptResult aResult)
{
  AttemptPointer attempt = aAttempt.shared_from_this();
  std::erase(runningAttempts_, attempt);
  attempts_.OnEnded(aResult);
  context_.metrics.RecordAttempt(context_.clock.Now() - attempt->StartedAt());
  context_.selection.Finish(attempt->Handle(), aResult);
  return attempt;
}

void
GatewaySession::SetForwarded(const BackendAttempt& aAttempt,
                             std::size_t aBodyBytes)
{
  forwarded_ = { aAttempt.Connection(), aAttempt.Head().framing, aBodyBytes };
}

void
GatewaySession::StreamBody(ByteView aBytes)
{
  forwarded_.bodyBytes += aBytes.size();
  exchange_->SendBody(aBytes);
}

void
GatewaySession::CancelAttempts(AttemptResult aResult)
{
  for (const AttemptPointer& attempt : std::exchange(runningAttempts_, {})) {
    context_.selection.Finish(attempt->Handle(), aResult);
    attempt->Cancel();
    attempts_.OnCancelled(attempt->AnyByteSent());
  }
}

void
GatewaySession::Close(int aStatus,
                      std::string_view aOutcome,
                      std::string_view aReason)
{
  if (std::exchange(isDone_, true)) {
    return;
  }
  deadlineTimer_.stop();
  hedgeTimer_.stop();
  if (isSelecting_) {
    context_.selection.CancelWaiting(selectionId_);
  }
  ReturnQuota();
  const Duration latency = context_.clock.Now() - arrivedAt_;
  context_.metrics.RecordLatency(latency);
  if (IsSuccess(aStatus)) {
    context_.metrics.Count(GatewayCounter::Succeeded);
  } else if (aOutcome == "backend-failed") {
    context_.metrics.Count(GatewayCounter::BackendFailures);
  }
  LogEvent(LogLevel::Info,
           "request_closed",
           { { "request", callerHeaders_.requestId },
             { "route", route_.name },
             { "version", authorization_.table->Version() },
             { "workspace", authorization_.Workspace() },
             { "service", service_ },
             { "directory", context_.directory->Revision() },
             { "servers",
               fmt::format("{}", fmt::join(attempts_.TriedServers(), ",")) },
             { "chosen_by", lastSelectionSource_ },
             { "attempts", attempts_.SentAttempts() },
             { "unreachable", attempts_.UnreachableAttempts() },
             { "status", aStatus },
             { "outcome", aOutcome },
             { "reason", aReason },
             { "connection", forwarded_.connection.connectionNumber },
             { "exchange", forwarded_.connection.exchangeNumber },
             { "framing", ToString(forwarded_.framing) },
             { "body", forwarded_.bodyBytes },
             { "ms", ToMilliseconds(latency) } });
}

} // namespace filbertbeam
