#pragma once

#include "gateway/ExchangeHeaderCodec.h"

namespace filbertbeam {

// What a response of a backend server proves. A faulty server may send any
// bytes, among them an earlier response once more.

constexpr bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

// True for the statuses that mean "not run" to callers of this system. A server
// may send them without stating that it did not run the request, and then the
// request may have run.
bool
MeansNotRun(int aStatus);

// True when a successful response provably comes from its server: it is signed
// and has no content encoding, since no caller requests one.
bool
IsVerified(const HttpResponseHead& aHead, const ResponseHeaders& aHeaders);

// True when the response provably belongs to the request. One that names no
// request could be any.
bool
IsResponseTo(const CallerHeaders& aRequest, const ResponseHeaders& aResponse);

// True when the server provably did not run the request.
bool
IsProvenRefusal(const CallerHeaders& aRequest,
                const HttpResponseHead& aHead,
                const ResponseHeaders& aResponse);

} // namespace filbertbeam
