#pragma once

#include "http/HttpMessage.h"
#include "membership/MembershipView.h"

namespace filbertbeam {

// Signs the head of a request to another host, so that the host can tell it
// from one made outside the fleet or sent a second time.
class RelayRequestSigner
{
public:
  virtual ~RelayRequestSigner() = default;

  // Call it last: fields with the relay prefix are covered by the signature.
  virtual void Sign(HttpRequestHead& aHead, const Member& aOwner) = 0;
};

} // namespace filbertbeam
