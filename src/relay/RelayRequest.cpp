#include "relay/RelayRequest.h"

#include "relay/RelayFields.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <cstdint>
#include <string_view>

namespace filbertbeam {

namespace {

constexpr std::string_view kInContract = "in-contract";
constexpr std::string_view kExcess = "excess";

template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

void
WriteRelayFields(const RelayRequest& aRequest, HttpFields& aFields)
{
  aFields.Set(kShardField, aRequest.shard);
  aFields.Set(kCustomerField, aRequest.customer);
  aFields.Set(kPromiseField, fmt::format("{}", aRequest.promise));
  aFields.Set(kClassField,
              aRequest.requestClass == RequestClass::InContract ? kInContract
                                                                : kExcess);
  aFields.Set(kIdempotentField, aRequest.isIdempotent ? "1" : "0");
  aFields.Set(kRemainingField, fmt::format("{}", aRequest.remaining.count()));
  aFields.Set(kRequestIdField, aRequest.requestId);
}

std::optional<RelayRequest>
ReadRelayFields(const HttpFields& aFields, std::string& aReason)
{
  const auto find = [&](std::string_view aName) -> std::string_view {
    const std::optional<std::string_view> value = aFields.Find(aName);
    if (!value) {
      aReason = fmt::format("field {} is missing", aName);
      return {};
    }
    return *value;
  };
  RelayRequest request;
  aReason.clear();
  request.shard = find(kShardField);
  request.customer = find(kCustomerField);
  request.requestId = find(kRequestIdField);
  const std::string_view requestClass = find(kClassField);
  const std::string_view idempotent = find(kIdempotentField);
  const std::optional<double> promise =
    ParseNumber<double>(find(kPromiseField));
  const std::optional<std::int64_t> remaining =
    ParseNumber<std::int64_t>(find(kRemainingField));
  if (!aReason.empty()) {
    return std::nullopt;
  }
  if (!promise || !std::isfinite(*promise) || *promise <= 0) {
    aReason = "the promise is not a positive number";
    return std::nullopt;
  }
  if (!remaining) {
    aReason = "the remaining time is not a number";
    return std::nullopt;
  }
  if (requestClass != kInContract && requestClass != kExcess) {
    aReason = "the request class is unknown";
    return std::nullopt;
  }
  request.promise = *promise;
  request.remaining = std::chrono::milliseconds(*remaining);
  request.requestClass = requestClass == kInContract ? RequestClass::InContract
                                                     : RequestClass::Excess;
  request.isIdempotent = idempotent == "1";
  return request;
}

} // namespace filbertbeam
