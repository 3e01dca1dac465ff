#pragma once

#include "claims/ClaimRecord.h"
#include "claims/ClaimRegistry.h"
#include "claims/RetryBackoff.h"

#include <QObject>
#include <QTimer>

#include <deque>
#include <unordered_map>

namespace filbertbeam {

// Stores each claim as one object and changes it by conditional writes. A
// request needs two writes: the claim and its outcome.
class StoreClaimRegistry final : public ClaimRegistry
{
public:
  StoreClaimRegistry(ObjectStore& aStore,
                     const Clock& aClock,
                     Random& aRandom,
                     std::string_view aHost,
                     std::uint64_t aIncarnation,
                     const ClaimLimits& aLimits);

  void Claim(const ClaimRequest& aRequest,
             Instant aDeadline,
             Callback aCallback) override;
  void Complete(std::uint64_t aClaimId,
                int aStatus,
                std::optional<StoredResponse> aResponse) override;
  void Release(std::uint64_t aClaimId) override;
  void Abandon(std::uint64_t aClaimId) override;
  int PendingWrites() const override;

private:
  enum class Phase
  {
    // The caller waits for the decision.
    Claiming,
    // Granted; the request is running.
    Held,
    // The deadline passed during a write whose response is still expected.
    Expired,
    // The final state is being written in the background.
    Settling,
  };

  // Defers the deletion, since a timer must not be deleted by the function that
  // it calls.
  struct DeleteLater
  {
    void operator()(QTimer* aTimer) const { aTimer->deleteLater(); }
  };

  struct OpenClaim
  {
    std::uint64_t id = 0;
    std::string objectKey;
    // The record that this attempt wrote or has to write.
    ClaimRecord record;
    Phase phase = Phase::Claiming;
    Callback callback;
    Instant deadline;
    // Runs while the caller waits.
    std::unique_ptr<QTimer, DeleteLater> deadlineTimer;
    RetryBackoff backoff;
    std::string lastReason;
    // Number of the last call to the store. Responses to earlier calls are
    // ignored.
    std::uint64_t callNumber = 0;
    bool isWriteInFlight = false;
    // Version that the object must have for the current or next write, or 0 if
    // it must not exist. Null if the object has to be read first.
    std::optional<std::uint64_t> expectedVersion;
    // Expected version of a claim write that may still take effect.
    std::optional<std::uint64_t> unconfirmedVersion;
  };

  using WriteHandler =
    void (StoreClaimRegistry::*)(OpenClaim&, const StoreResult<std::uint64_t>&);
  using ReadHandler =
    void (StoreClaimRegistry::*)(OpenClaim&, const StoreResult<StoredObject>&);

  OpenClaim* Find(std::uint64_t aClaimId);
  OpenClaim* FindHeld(std::uint64_t aClaimId, std::string_view aAction);
  void PostRefusal(Callback aCallback, std::string_view aReason);

  void Write(OpenClaim& aClaim, WriteHandler aHandler);
  void Read(OpenClaim& aClaim, ReadHandler aHandler);
  void Schedule(std::chrono::milliseconds aDelay,
                std::function<void()> aAction);

  void StartDeadlineTimer(OpenClaim& aClaim, Duration aRemaining);
  void TryClaim(OpenClaim& aClaim);
  void OnClaimWriteDone(OpenClaim& aClaim,
                        const StoreResult<std::uint64_t>& aResult);
  void OnClaimReadDone(OpenClaim& aClaim,
                       const StoreResult<StoredObject>& aResult);
  void RetryClaim(OpenClaim& aClaim, const std::string& aReason);
  void Grant(OpenClaim& aClaim, std::uint64_t aVersion);
  // Passes a result without a grant to the caller and releases a claim that
  // may have been written.
  void RefuseClaim(OpenClaim& aClaim, const ClaimResult& aResult);
  void OnExpiredWriteDone(OpenClaim& aClaim,
                          const StoreResult<std::uint64_t>& aResult);

  void Settle(OpenClaim& aClaim, ClaimState aState);
  void StartBackgroundCalls();
  void ContinueSettling(OpenClaim& aClaim);
  void OnSettleWriteDone(OpenClaim& aClaim,
                         const StoreResult<std::uint64_t>& aResult);
  void OnSettleReadDone(OpenClaim& aClaim,
                        const StoreResult<StoredObject>& aResult);
  void OnBackgroundFailure(OpenClaim& aClaim, const std::string& aReason);
  void OnBackgroundResponse();
  void FinishSettling(OpenClaim& aClaim);
  void DropResponse(OpenClaim& aClaim);

  ObjectStore& store_;
  const Clock& clock_;
  Random& random_;
  std::string host_;
  std::uint64_t incarnation_;
  ClaimLimits limits_;

  // Declared before the claims, since it is the parent of their timers.
  QObject context_;
  std::unordered_map<std::uint64_t, OpenClaim> claims_;
  std::uint64_t nextId_ = 1;
  int heldCount_ = 0;
  std::size_t pendingResponseBytes_ = 0;

  // Claims that wait for their next background call.
  std::deque<std::uint64_t> settleQueue_;
  int backgroundCalls_ = 0;
  // Shared by all background calls: while the store is unavailable, only one
  // call at a time checks it.
  RetryBackoff backgroundBackoff_;
  bool isStoreFailing_ = false;
  bool isBackgroundPaused_ = false;

  // Lets callbacks detect that the registry was destroyed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace filbertbeam
