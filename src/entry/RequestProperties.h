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

// What the contract, the route and the head of a request say about it.
struct RequestProperties
{
  // Null until found; they belong to the configuration.
  const Contract* contract = nullptr;
  const Service* service = nullptr;
  bool isIdempotent = false;
  // Empty for idempotent requests and for those without a key.
  std::string idempotencyKey;
  std::chrono::milliseconds timeout = kDefaultRequestTimeout;
};

// Why a request is refused for its head.
struct RequestHeadError
{
  int status = 400;
  std::string_view reason;
};

// Fills aProperties as far as they could be read; nothing when all could.
std::optional<RequestHeadError>
ReadRequestProperties(const HttpRequestHead& aHead,
                      const Configuration& aConfiguration,
                      RequestProperties& aProperties);

} // namespace filbertbeam
