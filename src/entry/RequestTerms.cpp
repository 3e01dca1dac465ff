#include "entry/RequestTerms.h"

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

// Idempotent methods of RFC 9110, section 9.2.2.
bool
IsIdempotentMethod(std::string_view aMethod)
{
  constexpr std::array<std::string_view, 6> kMethods{ "GET",     "HEAD",
                                                      "OPTIONS", "TRACE",
                                                      "PUT",     "DELETE" };
  return std::ranges::find(kMethods, aMethod) != kMethods.end();
}

// Longer timeouts are cut to the longest one that is served.
std::optional<HeadFault>
ReadTimeout(const HttpRequestHead& aHead, RequestTerms& aTerms)
{
  const auto field = aHead.fields.Find(kRequestTimeoutField);
  if (!field) {
    return std::nullopt;
  }
  std::int64_t timeout = 0;
  const char* end = field->data() + field->size();
  const auto result = std::from_chars(field->data(), end, timeout);
  if (result.ec != std::errc() || result.ptr != end || timeout <= 0) {
    return HeadFault{ 400, "malformed-timeout" };
  }
  aTerms.timeout = std::min(milliseconds(timeout), kMaxRequestTimeout);
  return std::nullopt;
}

std::optional<HeadFault>
ReadIdempotencyKey(const HttpRequestHead& aHead, RequestTerms& aTerms)
{
  const auto key = aHead.fields.Find("Idempotency-Key");
  if (!key || aTerms.isIdempotent) {
    return std::nullopt;
  }
  if (key->empty() || key->size() > kMaxIdempotencyKeyLength) {
    return HeadFault{ 400, "malformed-idempotency-key" };
  }
  aTerms.idempotencyKey = *key;
  return std::nullopt;
}

} // namespace

std::optional<HeadFault>
ReadRequestTerms(const HttpRequestHead& aHead,
                 const Configuration& aConfiguration,
                 RequestTerms& aTerms)
{
  if (const auto key = ApiKeyOf(aHead.fields)) {
    aTerms.contract = aConfiguration.FindContractByKeySha256(Sha256Hex(*key));
  }
  if (!aTerms.contract) {
    return HeadFault{ 401, "unknown-customer" };
  }
  const std::optional<std::string_view> path = RoutablePath(aHead.target);
  if (!path) {
    return HeadFault{ 400, "malformed-target" };
  }
  const Route* route = aConfiguration.FindRoute(
    HostWithoutPort(aHead.fields.Find("Host").value_or("")), *path);
  aTerms.service = route ? aConfiguration.FindService(route->service) : nullptr;
  if (!aTerms.service) {
    return HeadFault{ 404, "unknown-route" };
  }
  if (std::ranges::find(aTerms.contract->services, aTerms.service->name) ==
      aTerms.contract->services.end()) {
    return HeadFault{ 403, "service-not-in-contract" };
  }
  aTerms.isIdempotent =
    IsIdempotentMethod(aHead.method) &&
    std::ranges::find(route->nonIdempotentMethods, aHead.method) ==
      route->nonIdempotentMethods.end();
  if (const auto fault = ReadTimeout(aHead, aTerms)) {
    return fault;
  }
  return ReadIdempotencyKey(aHead, aTerms);
}

} // namespace filbertbeam
