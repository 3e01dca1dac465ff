#pragma once

#include "base/Clock.h"
#include "relay/RelaySignature.h"

#include <atomic>

namespace filbertbeam {

// Signs the heads that an entry host relays. A process must use only one
// signer, since a second one would reuse request numbers.
class RelaySigner
{
public:
  // aClock has to outlive the signer.
  RelaySigner(std::string aSecret, RelayIdentity aEntry, const Clock& aClock);

  // Sets the signature field. Must be called last: later changes of the method,
  // target, body length or relay fields invalidate the signature. May be called
  // from any thread.
  void Sign(HttpRequestHead& aHead, const RelayIdentity& aOwner);

private:
  const std::string secret_;
  const RelayIdentity entry_;
  const Clock& clock_;
  std::atomic<std::uint64_t> lastNumber_ = 0;
};

} // namespace filbertbeam
