#pragma once

#include "base/Clock.h"
#include "claims/ClaimRegistry.h"

namespace filbertbeam {

enum class ClaimState
{
  // The key is claimed and the request may have run. Such a claim is never
  // granted to another attempt.
  Undecided,
  Ran,
  // The request did not run. The key may be claimed again by a conditional
  // update.
  Released,
};

// The value of a claim object in the store.
struct ClaimRecord
{
  std::string fingerprint;
  std::string host;
  std::uint64_t incarnation = 0;
  // Random value that distinguishes any two attempts to claim.
  std::string nonce;
  ClaimState state = ClaimState::Undecided;
  // Time of the last change of the state.
  WallTime time;
  // Response status; set if the state is Ran.
  int status = 0;
  std::optional<StoredResponse> response;

  // Encodes the record as CBOR. A response body is stored unchanged.
  std::string Encode() const;
  // Returns null for values that Encode cannot have written.
  static std::optional<ClaimRecord> Decode(std::string_view aValue);

  // Returns true if both records were written by the same attempt to claim.
  bool IsSameAttempt(const ClaimRecord& aOther) const;
};

// Returns the key of the claim object: "claims/" and the hexadecimal SHA-256 of
// the customer, a zero byte and the idempotency key.
std::string
ClaimObjectKey(std::string_view aCustomer, std::string_view aIdempotencyKey);

// Returns the result for a request whose key was claimed by another attempt.
// aRecord is null if the stored claim cannot be decoded. Returns null if the
// claim was released, so that the request may claim the key.
std::optional<ClaimResult>
EvaluateExistingClaim(const std::optional<ClaimRecord>& aRecord,
                      std::string_view aFingerprint);

} // namespace filbertbeam
