#pragma once

#include "gateway/ExchangeHeaderCodec.h"
#include "http/HttpServerExchange.h"

namespace filbertbeam {

inline constexpr int kUnauthorized = 401;
inline constexpr int kOverQuota = 429;

// A response that this host generates itself, without that of a server.
struct LocalResponse
{
  int status = 0;
  std::string_view reason;
  // When the caller may return; only with a status that reports that the
  // request has not run.
  std::optional<Duration> retryAfter = std::nullopt;
};

void
SendLocalResponse(HttpServerExchange& aExchange,
                  const ExchangeHeaderCodec& aHeaderCodec,
                  const CallerHeaders& aCallerHeaders,
                  const LocalResponse& aResponse);

} // namespace filbertbeam
