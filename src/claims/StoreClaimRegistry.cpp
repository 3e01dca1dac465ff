#include "claims/StoreClaimRegistry.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

// Responses with a longer content type are not stored: the limit on the body
// alone would not limit the size of the object.
constexpr std::size_t kMaxContentTypeBytes = 1024;

ClaimResult
Unavailable(std::string_view aReason)
{
  ClaimResult result;
  result.decision = ClaimDecision::StoreUnavailable;
  result.reason = aReason;
  return result;
}

} // namespace

StoreClaimRegistry::StoreClaimRegistry(ObjectStore& aStore,
                                       const Clock& aClock,
                                       Random& aRandom,
                                       std::string_view aHost,
                                       std::uint64_t aIncarnation,
                                       const ClaimLimits& aLimits)
  : store_(aStore)
  , clock_(aClock)
  , random_(aRandom)
  , host_(aHost)
  , incarnation_(aIncarnation)
  , limits_(aLimits)
  , backgroundBackoff_(aLimits.firstBackgroundRetryDelay,
                       aLimits.maxBackgroundRetryDelay)
{
}

void
StoreClaimRegistry::Claim(const ClaimRequest& aRequest,
                          Instant aDeadline,
                          Callback aCallback)
{
  const Duration remaining = aDeadline - clock_.Now();
  if (remaining <= Duration::zero()) {
    PostRefusal(std::move(aCallback), "the deadline has passed");
    return;
  }
  // Each open claim may need a background write later. Refusing a claim here,
  // before anything is written, limits these writes without dropping any.
  if (claims_.size() >= limits_.maxOpenClaims) {
    PostRefusal(std::move(aCallback), "too many open claims");
    return;
  }
  const std::uint64_t id = nextId_++;
  OpenClaim& claim =
    claims_
      .emplace(id,
               OpenClaim{
                 .id = id,
                 .objectKey =
                   ClaimObjectKey(aRequest.customer, aRequest.idempotencyKey),
                 .record = {},
                 .callback = std::move(aCallback),
                 .deadline = aDeadline,
                 .deadlineTimer = {},
                 .backoff = RetryBackoff(limits_.firstClaimRetryDelay,
                                         limits_.maxClaimRetryDelay),
                 .lastReason = "the store did not respond in time",
                 .expectedVersion = 0,
                 .unconfirmedVersion = {},
               })
      .first->second;
  claim.record.fingerprint = aRequest.fingerprint;
  claim.record.host = host_;
  claim.record.incarnation = incarnation_;
  claim.record.nonce =
    fmt::format("{:016x}{:016x}", random_.Next(), random_.Next());
  claim.record.time = clock_.WallNow();
  StartDeadlineTimer(claim, remaining);
  TryClaim(claim);
}

void
StoreClaimRegistry::Complete(std::uint64_t aClaimId,
                             int aStatus,
                             std::optional<StoredResponse> aResponse)
{
  OpenClaim* const claim = FindHeld(aClaimId, "complete");
  if (claim == nullptr) {
    return;
  }
  claim->record.status = aStatus;
  if (aResponse && aResponse->body.size() <= kMaxStoredResponseBytes &&
      aResponse->contentType.size() <= kMaxContentTypeBytes &&
      pendingResponseBytes_ + aResponse->body.size() <=
        limits_.maxPendingResponseBytes) {
    pendingResponseBytes_ += aResponse->body.size();
    claim->record.response = std::move(aResponse);
  }
  Settle(*claim, ClaimState::Ran);
}

void
StoreClaimRegistry::Release(std::uint64_t aClaimId)
{
  OpenClaim* const claim = FindHeld(aClaimId, "release");
  if (claim != nullptr) {
    Settle(*claim, ClaimState::Released);
  }
}

void
StoreClaimRegistry::Abandon(std::uint64_t aClaimId)
{
  if (FindHeld(aClaimId, "abandon") != nullptr) {
    --heldCount_;
    claims_.erase(aClaimId);
  }
}

int
StoreClaimRegistry::PendingWrites() const
{
  return static_cast<int>(claims_.size()) - heldCount_;
}

StoreClaimRegistry::OpenClaim*
StoreClaimRegistry::Find(std::uint64_t aClaimId)
{
  const auto found = claims_.find(aClaimId);
  return found == claims_.end() ? nullptr : &found->second;
}

StoreClaimRegistry::OpenClaim*
StoreClaimRegistry::FindHeld(std::uint64_t aClaimId, std::string_view aAction)
{
  OpenClaim* const claim = Find(aClaimId);
  if (claim == nullptr || claim->phase != Phase::Held) {
    // A second decision about a claim must not overwrite the first one.
    LogEvent(LogLevel::Error,
             "claim_not_held",
             { { "claim_id", aClaimId }, { "action", aAction } });
    return nullptr;
  }
  return claim;
}

void
StoreClaimRegistry::PostRefusal(Callback aCallback, std::string_view aReason)
{
  Schedule(std::chrono::milliseconds(0),
           [result = Unavailable(aReason), callback = std::move(aCallback)] {
             callback(result);
           });
}

void
StoreClaimRegistry::Write(OpenClaim& aClaim, WriteHandler aHandler)
{
  aClaim.isWriteInFlight = true;
  auto callback = [this,
                   alive = std::weak_ptr(alive_),
                   id = aClaim.id,
                   callNumber = ++aClaim.callNumber,
                   aHandler](const StoreResult<std::uint64_t>& aResult) {
    if (alive.expired()) {
      return;
    }
    OpenClaim* const claim = Find(id);
    if (claim == nullptr || claim->callNumber != callNumber) {
      return;
    }
    claim->isWriteInFlight = false;
    // The deadline passed during the write, so its usual handler no longer
    // applies.
    if (claim->phase == Phase::Expired) {
      OnExpiredWriteDone(*claim, aResult);
      return;
    }
    (this->*aHandler)(*claim, aResult);
  };
  const std::string value = aClaim.record.Encode();
  if (*aClaim.expectedVersion == 0) {
    store_.Create(aClaim.objectKey, value, std::move(callback));
  } else {
    store_.Update(
      aClaim.objectKey, value, *aClaim.expectedVersion, std::move(callback));
  }
}

void
StoreClaimRegistry::Read(OpenClaim& aClaim, ReadHandler aHandler)
{
  store_.Get(aClaim.objectKey,
             [this,
              alive = std::weak_ptr(alive_),
              id = aClaim.id,
              callNumber = ++aClaim.callNumber,
              aHandler](const StoreResult<StoredObject>& aResult) {
               if (alive.expired()) {
                 return;
               }
               OpenClaim* const claim = Find(id);
               if (claim != nullptr && claim->callNumber == callNumber) {
                 (this->*aHandler)(*claim, aResult);
               }
             });
}

void
StoreClaimRegistry::Schedule(std::chrono::milliseconds aDelay,
                             std::function<void()> aAction)
{
  QTimer::singleShot(aDelay, Qt::PreciseTimer, &context_, std::move(aAction));
}

void
StoreClaimRegistry::StartDeadlineTimer(OpenClaim& aClaim, Duration aRemaining)
{
  aClaim.deadlineTimer.reset(new QTimer(&context_));
  QTimer& timer = *aClaim.deadlineTimer;
  timer.setSingleShot(true);
  timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&timer, &QTimer::timeout, &context_, [this, id = aClaim.id] {
    OpenClaim* const claim = Find(id);
    if (claim != nullptr && claim->phase == Phase::Claiming) {
      RefuseClaim(*claim, Unavailable(claim->lastReason));
    }
  });
  // Rounded down, since the callback must run no later than the deadline.
  timer.start(std::chrono::floor<std::chrono::milliseconds>(aRemaining));
}

void
StoreClaimRegistry::TryClaim(OpenClaim& aClaim)
{
  if (aClaim.expectedVersion) {
    Write(aClaim, &StoreClaimRegistry::OnClaimWriteDone);
  } else {
    Read(aClaim, &StoreClaimRegistry::OnClaimReadDone);
  }
}

void
StoreClaimRegistry::OnClaimWriteDone(OpenClaim& aClaim,
                                     const StoreResult<std::uint64_t>& aResult)
{
  switch (aResult.error) {
    case StoreError::None:
      Grant(aClaim, *aResult.value);
      return;
    case StoreError::Conflict:
    case StoreError::NotFound:
      // Either another attempt claimed the key first, or an earlier write of
      // this attempt took effect although its response was lost. The object
      // shows which.
      aClaim.expectedVersion.reset();
      TryClaim(aClaim);
      return;
    case StoreError::Invalid:
      RefuseClaim(aClaim, Unavailable(aResult.reason));
      return;
    case StoreError::Unavailable:
      break;
  }
  if (!aResult.isUnsent) {
    aClaim.unconfirmedVersion = aClaim.expectedVersion;
    aClaim.expectedVersion.reset();
  }
  RetryClaim(aClaim, aResult.reason);
}

void
StoreClaimRegistry::OnClaimReadDone(OpenClaim& aClaim,
                                    const StoreResult<StoredObject>& aResult)
{
  switch (aResult.error) {
    case StoreError::None:
      break;
    case StoreError::NotFound:
      // The object is created again with the same nonce, so it identifies this
      // attempt whichever of the two writes takes effect.
      aClaim.expectedVersion = 0;
      TryClaim(aClaim);
      return;
    case StoreError::Invalid:
      RefuseClaim(aClaim, Unavailable(aResult.reason));
      return;
    case StoreError::Conflict:
    case StoreError::Unavailable:
      RetryClaim(aClaim, aResult.reason);
      return;
  }
  const StoredObject& object = *aResult.value;
  const auto record = ClaimRecord::Decode(object.value);
  if (record && record->IsSameAttempt(aClaim.record)) {
    Grant(aClaim, object.version);
    return;
  }
  // The object belongs to another attempt. Either its version is newer than
  // any unconfirmed write of this attempt expects, or it is released at that
  // very version and claimed again below.
  const auto refusal = EvaluateExistingClaim(record, aClaim.record.fingerprint);
  if (refusal) {
    RefuseClaim(aClaim, *refusal);
    return;
  }
  aClaim.expectedVersion = object.version;
  TryClaim(aClaim);
}

void
StoreClaimRegistry::RetryClaim(OpenClaim& aClaim, const std::string& aReason)
{
  aClaim.lastReason = aReason;
  Schedule(aClaim.backoff.Next(random_),
           [this, id = aClaim.id, callNumber = aClaim.callNumber] {
             OpenClaim* const claim = Find(id);
             if (claim != nullptr && claim->phase == Phase::Claiming &&
                 claim->callNumber == callNumber) {
               TryClaim(*claim);
             }
           });
}

void
StoreClaimRegistry::Grant(OpenClaim& aClaim, std::uint64_t aVersion)
{
  aClaim.unconfirmedVersion.reset();
  aClaim.expectedVersion = aVersion;
  const Callback callback = std::exchange(aClaim.callback, {});
  if (clock_.Now() >= aClaim.deadline) {
    // The process was paused or the timer fired late. The request must no
    // longer be sent.
    Settle(aClaim, ClaimState::Released);
    callback(Unavailable("the claim was granted after the deadline"));
    return;
  }
  aClaim.phase = Phase::Held;
  aClaim.deadlineTimer.reset();
  ++heldCount_;
  ClaimResult result;
  result.decision = ClaimDecision::Granted;
  result.claimId = aClaim.id;
  callback(result);
}

void
StoreClaimRegistry::RefuseClaim(OpenClaim& aClaim, const ClaimResult& aResult)
{
  const Callback callback = std::exchange(aClaim.callback, {});
  // Any other decision was read from an object that earlier writes of this
  // attempt can no longer change.
  const bool mayHaveWritten =
    aResult.decision == ClaimDecision::StoreUnavailable;
  if (mayHaveWritten && aClaim.isWriteInFlight) {
    aClaim.phase = Phase::Expired;
  } else if (mayHaveWritten && aClaim.unconfirmedVersion) {
    Settle(aClaim, ClaimState::Released);
  } else {
    claims_.erase(aClaim.id);
  }
  callback(aResult);
}

void
StoreClaimRegistry::OnExpiredWriteDone(
  OpenClaim& aClaim,
  const StoreResult<std::uint64_t>& aResult)
{
  switch (aResult.error) {
    case StoreError::None:
      aClaim.unconfirmedVersion.reset();
      aClaim.expectedVersion = aResult.value;
      break;
    case StoreError::Unavailable:
      if (!aResult.isUnsent) {
        aClaim.unconfirmedVersion = aClaim.expectedVersion;
      }
      aClaim.expectedVersion.reset();
      break;
    case StoreError::NotFound:
    case StoreError::Conflict:
    case StoreError::Invalid:
      // This write has no effect, but an earlier one may still take effect.
      aClaim.expectedVersion.reset();
      break;
  }
  if (aClaim.expectedVersion || aClaim.unconfirmedVersion) {
    Settle(aClaim, ClaimState::Released);
  } else {
    claims_.erase(aClaim.id);
  }
}

void
StoreClaimRegistry::Settle(OpenClaim& aClaim, ClaimState aState)
{
  if (aClaim.phase == Phase::Held) {
    --heldCount_;
  }
  aClaim.phase = Phase::Settling;
  aClaim.record.state = aState;
  aClaim.record.time = clock_.WallNow();
  // A read may be in flight for the waiting caller. The new number makes its
  // response be ignored.
  ++aClaim.callNumber;
  settleQueue_.push_back(aClaim.id);
  StartBackgroundCalls();
}

void
StoreClaimRegistry::StartBackgroundCalls()
{
  const int calls = isStoreFailing_ ? 1 : limits_.maxBackgroundCalls;
  while (!isBackgroundPaused_ && !settleQueue_.empty() &&
         backgroundCalls_ < calls) {
    OpenClaim& claim = claims_.at(settleQueue_.front());
    settleQueue_.pop_front();
    ++backgroundCalls_;
    ContinueSettling(claim);
  }
}

void
StoreClaimRegistry::ContinueSettling(OpenClaim& aClaim)
{
  if (aClaim.expectedVersion) {
    Write(aClaim, &StoreClaimRegistry::OnSettleWriteDone);
  } else {
    Read(aClaim, &StoreClaimRegistry::OnSettleReadDone);
  }
}

void
StoreClaimRegistry::OnSettleWriteDone(OpenClaim& aClaim,
                                      const StoreResult<std::uint64_t>& aResult)
{
  switch (aResult.error) {
    case StoreError::None:
      OnBackgroundResponse();
      FinishSettling(aClaim);
      return;
    case StoreError::Conflict:
    case StoreError::NotFound:
      // The usual cause is that an earlier try of this write took effect and
      // its response was lost.
      OnBackgroundResponse();
      aClaim.expectedVersion.reset();
      ContinueSettling(aClaim);
      return;
    case StoreError::Unavailable:
      // The write is retried with the same expected version: if the first one
      // took effect, the second one conflicts.
      OnBackgroundFailure(aClaim, aResult.reason);
      return;
    case StoreError::Invalid:
      break;
  }
  OnBackgroundResponse();
  if (aClaim.record.response) {
    DropResponse(aClaim);
    ContinueSettling(aClaim);
    return;
  }
  LogEvent(LogLevel::Error,
           "claim_write_refused",
           { { "object", aClaim.objectKey }, { "reason", aResult.reason } });
  FinishSettling(aClaim);
}

void
StoreClaimRegistry::OnSettleReadDone(OpenClaim& aClaim,
                                     const StoreResult<StoredObject>& aResult)
{
  switch (aResult.error) {
    case StoreError::None:
      break;
    case StoreError::NotFound:
      // A claim write that is still in flight could create the object later and
      // leave it undecided permanently. Creating it first prevents that.
      OnBackgroundResponse();
      aClaim.expectedVersion = 0;
      ContinueSettling(aClaim);
      return;
    case StoreError::Conflict:
    case StoreError::Unavailable:
      OnBackgroundFailure(aClaim, aResult.reason);
      return;
    case StoreError::Invalid:
      LogEvent(
        LogLevel::Error,
        "claim_read_refused",
        { { "object", aClaim.objectKey }, { "reason", aResult.reason } });
      FinishSettling(aClaim);
      return;
  }
  OnBackgroundResponse();
  const StoredObject& object = *aResult.value;
  const auto record = ClaimRecord::Decode(object.value);
  if (record && record->IsSameAttempt(aClaim.record)) {
    if (record->state == ClaimState::Undecided) {
      aClaim.expectedVersion = object.version;
      ContinueSettling(aClaim);
    } else {
      FinishSettling(aClaim);
    }
    return;
  }
  if (aClaim.unconfirmedVersion == object.version) {
    // The unconfirmed claim write could still overwrite this released object.
    // Writing the released state first prevents that.
    aClaim.expectedVersion = object.version;
    ContinueSettling(aClaim);
    return;
  }
  if (aClaim.record.state == ClaimState::Ran) {
    // No host takes over an undecided claim, so another program must have
    // changed it.
    LogEvent(
      LogLevel::Error, "claim_overwritten", { { "object", aClaim.objectKey } });
  }
  FinishSettling(aClaim);
}

void
StoreClaimRegistry::OnBackgroundFailure(OpenClaim& aClaim,
                                        const std::string& aReason)
{
  --backgroundCalls_;
  settleQueue_.push_back(aClaim.id);
  if (!isStoreFailing_) {
    isStoreFailing_ = true;
    LogEvent(LogLevel::Warning,
             "claim_writes_delayed",
             { { "pending", PendingWrites() }, { "reason", aReason } });
  }
  if (isBackgroundPaused_) {
    return;
  }
  isBackgroundPaused_ = true;
  Schedule(backgroundBackoff_.Next(random_), [this] {
    isBackgroundPaused_ = false;
    StartBackgroundCalls();
  });
}

void
StoreClaimRegistry::OnBackgroundResponse()
{
  backgroundBackoff_.Reset();
  if (isStoreFailing_) {
    isStoreFailing_ = false;
    LogEvent(LogLevel::Info,
             "claim_writes_resumed",
             { { "pending", PendingWrites() } });
  }
}

void
StoreClaimRegistry::FinishSettling(OpenClaim& aClaim)
{
  --backgroundCalls_;
  DropResponse(aClaim);
  claims_.erase(aClaim.id);
  StartBackgroundCalls();
}

void
StoreClaimRegistry::DropResponse(OpenClaim& aClaim)
{
  if (aClaim.record.response) {
    pendingResponseBytes_ -= aClaim.record.response->body.size();
    aClaim.record.response.reset();
  }
}

} // namespace filbertbeam
