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

// What an Idempotency-Key stands for.
struct ClaimRequest
{
  std::string customer;
  std::string idempotencyKey;
  // SHA-256 over method, target and body (or its length), in hexadecimal.
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
  // An earlier request with this key is running, or its outcome is not known.
  Undecided,
  // The key was used for another request.
  FingerprintMismatch,
  // The store gave no answer in time; the request must not be sent.
  StoreUnavailable,
};

struct ClaimResult
{
  ClaimDecision decision = ClaimDecision::StoreUnavailable;
  // Names the claim in Complete and Release; set when granted.
  std::uint64_t claimId = 0;
  // Set with AlreadyRan: the status, and the body where it was kept.
  int status = 0;
  std::optional<StoredResponse> response;
  std::string reason;
};

// Responses larger than this are not kept with their claim.
inline constexpr std::size_t kMaxStoredResponseBytes = 16 * 1024;

struct ClaimLimits
{
  // Claims being made, held or written in the background, together. Further
  // ones are refused as StoreUnavailable before anything is written.
  std::size_t maxOpenClaims = 4096;
  // Response bytes waiting for the store. Above it, completions keep the
  // status only.
  std::size_t maxPendingResponseBytes = 4 * 1024 * 1024;
  // Background calls to the store at one time.
  int maxBackgroundCalls = 8;
  // Pauses after a failed call, doubled with every failure in a row: while a
  // caller waits, and in the background.
  std::chrono::milliseconds firstClaimRetryDelay{ 20 };
  std::chrono::milliseconds maxClaimRetryDelay{ 500 };
  std::chrono::milliseconds firstBackgroundRetryDelay{ 100 };
  std::chrono::milliseconds maxBackgroundRetryDelay{ 30'000 };
};

// Claims of idempotency keys in the object store. Not thread-safe; uses the
// event loop of the calling thread.
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

  // Answers no later than aDeadline.
  virtual void Claim(const ClaimRequest& aRequest,
                     Instant aDeadline,
                     Callback aCallback) = 0;

  // The request ran; keeps its outcome for later tries. Retries in the
  // background until the store took it.
  virtual void Complete(std::uint64_t aClaimId,
                        int aStatus,
                        std::optional<StoredResponse> aResponse) = 0;

  // The request is known not to have run; the key may be used again.
  virtual void Release(std::uint64_t aClaimId) = 0;

  // The outcome is not known; the claim stays undecided for ever.
  virtual void Abandon(std::uint64_t aClaimId) = 0;

  // Claims being made and writes that the store has not taken yet; 0 lets a
  // graceful stop proceed.
  virtual int PendingWrites() const = 0;
};

} // namespace filbertbeam
