#pragma once

#include "http/HttpMessage.h"
#include "membership/MembershipView.h"

namespace filbertbeam {

// Signs the head of a request to another host, so that the host can detect
// requests from outside the fleet and replayed requests.
class RelayRequestSigner
{
public:
  virtual ~RelayRequestSigner() = default;

  // Adds the signature. It covers the fields with the relay prefix, so they
  // must not change afterwards.
  virtual void Sign(HttpRequestHead& aHead, const Member& aOwner) = 0;
};

} // namespace filbertbeam
