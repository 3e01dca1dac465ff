#include "entry/RequestProperties.h"

#include "base/Digest.h"
#include "entry/RequestPath.h"
#include "http/HostField.h"
#include "relay/RelayFields.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxIdempotencyKeyLength = 255;
constexpr std::string_view kBearerPrefix = "Bearer ";

std::optional<std::string_view>
ApiKeyOf(const HttpFields& aFields)
{
  if (const auto key = aFields.Find("X-Api-Key")) {
    return key;
  }
  const auto authorization = aFields.Find("Authorization");
  if (!authorization || !authorization->starts_with(kBearerPrefix)) {
    return std::nullopt;
  }
  return authorization->substr(kBearerPrefix.size());
}

// Returns true for the idempotent methods of RFC 9110, section 9.2.2.
bool
IsIdempotentMethod(std::string_view aMethod)
{
  constexpr std::array<std::string_view, 6> kMethods{ "GET",     "HEAD",
                                                      "OPTIONS", "TRACE",
                                                      "PUT",     "DELETE" };
  return std::ranges::find(kMethods, aMethod) != kMethods.end();
}

// Reads the requested timeout. Values above kMaxRequestTimeout are reduced to
// it.
std::optional<RequestHeadError>
ReadTimeout(const HttpRequestHead& aHead, RequestProperties& aProperties)
{
  const auto field = aHead.fields.Find(kRequestTimeoutField);
  if (!field) {
    return std::nullopt;
  }
  std::int64_t timeout = 0;
  const char* end = field->data() + field->size();
  const auto result = std::from_chars(field->data(), end, timeout);
  if (result.ec != std::errc() || result.ptr != end || timeout <= 0) {
    return RequestHeadError{ 400, "malformed-timeout" };
  }
  aProperties.timeout = std::min(milliseconds(timeout), kMaxRequestTimeout);
  return std::nullopt;
}

std::optional<RequestHeadError>
ReadIdempotencyKey(const HttpRequestHead& aHead, RequestProperties& aProperties)
{
  const auto key = aHead.fields.Find("Idempotency-Key");
  if (!key || aProperties.isIdempotent) {
    return std::nullopt;
  }
  if (key->empty() || key->size() > kMaxIdempotencyKeyLength) {
    return RequestHeadError{ 400, "malformed-idempotency-key" };
  }
  aProperties.idempotencyKey = *key;
  return std::nullopt;
}

} // namespace

std::optional<RequestHeadError>
ReadRequestProperties(const HttpRequestHead& aHead,
                      const Configuration& aConfiguration,
                      RequestProperties& aProperties)
{
  if (const auto key = ApiKeyOf(aHead.fields)) {
    aProperties.contract =
      aConfiguration.FindContractByKeySha256(Sha256Hex(*key));
  }
  if (!aProperties.contract) {
    return RequestHeadError{ 401, "unknown-customer" };
  }
  const std::optional<std::string_view> path = RoutablePath(aHead.target);
  if (!path) {
    return RequestHeadError{ 400, "malformed-target" };
  }
  const Route* route = aConfiguration.FindRoute(
    HostWithoutPort(aHead.fields.Find("Host").value_or("")), *path);
  aProperties.service =
    route ? aConfiguration.FindService(route->service) : nullptr;
  if (!aProperties.service) {
    return RequestHeadError{ 404, "unknown-route" };
  }
  if (std::ranges::find(aProperties.contract->services,
                        aProperties.service->name) ==
      aProperties.contract->services.end()) {
    return RequestHeadError{ 403, "service-not-in-contract" };
  }
  aProperties.isIdempotent =
    IsIdempotentMethod(aHead.method) &&
    std::ranges::find(route->nonIdempotentMethods, aHead.method) ==
      route->nonIdempotentMethods.end();
  if (const auto error = ReadTimeout(aHead, aProperties)) {
    return error;
  }
  return ReadIdempotencyKey(aHead, aProperties);
}

} // namespace filbertbeam
