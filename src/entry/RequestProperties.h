#pragma once

#include "configuration/Configuration.h"
#include "http/HttpMessage.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

inline constexpr std::chrono::milliseconds kDefaultRequestTimeout{ 30'000 };
inline constexpr std::chrono::milliseconds kMaxRequestTimeout{ 300'000 };

// The properties of a request that follow from its head, its contract and its
// route.
struct RequestProperties
{
  // Null until found; both point into the configuration.
  const Contract* contract = nullptr;
  const Service* service = nullptr;
  bool isIdempotent = false;
  // Empty for idempotent requests and for requests without a key.
  std::string idempotencyKey;
  std::chrono::milliseconds timeout = kDefaultRequestTimeout;
};

// Describes why a request with an invalid head is refused.
struct RequestHeadError
{
  int status = 400;
  std::string_view reason;
};

// Fills aProperties up to the first error. Returns nothing if all properties
// could be read.
std::optional<RequestHeadError>
ReadRequestProperties(const HttpRequestHead& aHead,
                      const Configuration& aConfiguration,
                      RequestProperties& aProperties);

} // namespace filbertbeam
