#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "store/ObjectStore.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// Identifies an idempotency key of a customer and the request that it is used
// for.
struct ClaimRequest
{
  std::string customer;
  std::string idempotencyKey;
  // Hexadecimal SHA-256 of the method, the target and the body, or of the
  // body's length if the body is not buffered.
  std::string fingerprint;
};

struct StoredResponse
{
  int status = 0;
  std::string contentType;
  std::string body;
};

enum class ClaimDecision
{
  // This process holds the claim and may send the request once.
  Granted,
  // An earlier request with this key ran.
  AlreadyRan,
  // An earlier request with this key is running or has an unknown outcome.
  Undecided,
  // The key was used for another request.
  FingerprintMismatch,
  // The store did not respond in time; the request must not be sent.
  StoreUnavailable,
};

struct ClaimResult
{
  ClaimDecision decision = ClaimDecision::StoreUnavailable;
  // Identifies the claim in Complete, Release and Abandon; set if granted.
  std::uint64_t claimId = 0;
  // Set for AlreadyRan. The response is set only if its body was stored.
  int status = 0;
  std::optional<StoredResponse> response;
  std::string reason;
};

// Response bodies larger than this are not stored with their claim.
inline constexpr std::size_t kMaxStoredResponseBytes = 16 * 1024;

struct ClaimLimits
{
  // Maximum number of claims that are being made, held or written in the
  // background. Further claims are refused as StoreUnavailable before anything
  // is written.
  std::size_t maxOpenClaims = 4096;
  // Maximum size of all response bodies that wait to be written. Above it,
  // completions store only the status.
  std::size_t maxPendingResponseBytes = 4 * 1024 * 1024;
  // Maximum number of concurrent background calls to the store.
  int maxBackgroundCalls = 8;
  // Delays after a failed call, doubled with each consecutive failure, for
  // calls that a caller waits for and for background calls.
  std::chrono::milliseconds firstClaimRetryDelay{ 20 };
  std::chrono::milliseconds maxClaimRetryDelay{ 500 };
  std::chrono::milliseconds firstBackgroundRetryDelay{ 100 };
  std::chrono::milliseconds maxBackgroundRetryDelay{ 30'000 };
};

// Claims idempotency keys in the object store. Not thread-safe; uses the event
// loop of the calling thread.
class ClaimRegistry
{
public:
  using Callback = std::function<void(const ClaimResult&)>;

  virtual ~ClaimRegistry() = default;

  // aStore, aClock and aRandom have to outlive the registry.
  static std::unique_ptr<ClaimRegistry> Create(ObjectStore& aStore,
                                               const Clock& aClock,
                                               Random& aRandom,
                                               std::string_view aHost,
                                               std::uint64_t aIncarnation,
                                               const ClaimLimits& aLimits = {});

  // Claims the key. The callback runs after this call returns and no later
  // than aDeadline.
  virtual void Claim(const ClaimRequest& aRequest,
                     Instant aDeadline,
                     Callback aCallback) = 0;

  // Records that the request ran, with its response for later requests with
  // the same key. The write is retried in the background until it succeeds.
  virtual void Complete(std::uint64_t aClaimId,
                        int aStatus,
                        std::optional<StoredResponse> aResponse) = 0;

  // Records that the request did not run, so that the key may be used again.
  virtual void Release(std::uint64_t aClaimId) = 0;

  // Ends the claim with an unknown outcome; it stays undecided permanently.
  virtual void Abandon(std::uint64_t aClaimId) = 0;

  // Returns the number of claims being made and of writes that the store has
  // not confirmed yet. A graceful stop waits until it is 0.
  virtual int PendingWrites() const = 0;
};

} // namespace filbertbeam
