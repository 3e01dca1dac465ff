#include "gateway/LocalResponse.h"

#include <fmt/format.h>

namespace filbertbeam {

void
SendLocalResponse(HttpServerExchange& aExchange,
                  const ExchangeHeaderCodec& aHeaderCodec,
                  const CallerHeaders& aCallerHeaders,
                  const LocalResponse& aResponse)
{
  HttpResponseHead head;
  head.status = aResponse.status;
  aHeaderCodec.WriteLocalResponseHeaders(head, aCallerHeaders.requestId);
  head.fields.Set("Content-Type", "text/plain");
  if (aResponse.status == kUnauthorized) {
    // Required by RFC 9110, 15.5.2.
    head.fields.Set("WWW-Authenticate", "Bearer");
  }
  if (aResponse.retryAfter) {
    const std::chrono::duration<double> seconds = *aResponse.retryAfter;
    head.fields.Set("Retry-After", fmt::format("{:.3f}", seconds.count()));
  }
  SendWholeResponse(aExchange, head, aResponse.reason);
}

} // namespace filbertbeam
