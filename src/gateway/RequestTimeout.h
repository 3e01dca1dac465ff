#pragma once

#include "gateway/ExchangeHeaderCodec.h"
#include "routing/Route.h"

#include <algorithm>

namespace filbertbeam {

// Returns the time from the arrival of a request until its final response is
// due. The route's timeout applies to callers that state none.
inline Duration
RequestTimeout(const Route& aRoute, const CallerHeaders& aHeaders)
{
  return aHeaders.timeout ? std::min(*aHeaders.timeout, aRoute.timeout)
                          : aRoute.timeout;
}

} // namespace filbertbeam
