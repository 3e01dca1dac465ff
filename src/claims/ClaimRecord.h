#pragma once

#include "base/Clock.h"
#include "claims/ClaimRegistry.h"

namespace filbertbeam {

enum class ClaimState
{
  // Claimed; whether the request ran is not known. Never taken over.
  Undecided,
  Ran,
  // Known not to have run; may be claimed again by a conditional update.
  Released,
};

// The value of a claim object.
struct ClaimRecord
{
  std::string fingerprint;
  std::string host;
  std::uint64_t incarnation = 0;
  // Differs between any two attempts to claim.
  std::string nonce;
  ClaimState state = ClaimState::Undecided;
  // Of the last change of the state.
  WallTime time;
  // Set with Ran.
  int status = 0;
  std::optional<StoredResponse> response;

  // CBOR; a response body is kept byte for byte.
  std::string Encode() const;
  // Null for a value that Encode cannot have written.
  static std::optional<ClaimRecord> Decode(std::string_view aValue);

  // True when both records stem from the same attempt to claim.
  bool IsSameAttempt(const ClaimRecord& aOther) const;
};

// "claims/" and the SHA-256 of customer, a zero byte and the key, in
// hexadecimal.
std::string
ClaimObjectKey(std::string_view aCustomer, std::string_view aIdempotencyKey);

// What an existing record of another attempt means for a request; null when
// the record is released, so that the request may claim it.
std::optional<ClaimResult>
EvaluateExistingClaim(const std::optional<ClaimRecord>& aRecord,
                      std::string_view aFingerprint);

} // namespace filbertbeam
