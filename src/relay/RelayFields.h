#pragma once

#include "http/HttpFields.h"

#include <string_view>

namespace filbertbeam {

// Prefix of every field that hosts add to a relayed message. Callers and
// backend servers cannot set such fields: entry hosts strip them from requests
// and owners from responses.
inline constexpr std::string_view kRelayFieldPrefix = "Filbertbeam-";

// Fields of relayed requests.
inline constexpr std::string_view kShardField = "Filbertbeam-Shard";
inline constexpr std::string_view kCustomerField = "Filbertbeam-Customer";
inline constexpr std::string_view kPromiseField = "Filbertbeam-Promise";
inline constexpr std::string_view kClassField = "Filbertbeam-Class";
inline constexpr std::string_view kIdempotentField = "Filbertbeam-Idempotent";
inline constexpr std::string_view kRemainingField = "Filbertbeam-Remaining-Ms";
inline constexpr std::string_view kRequestIdField = "Filbertbeam-Request-Id";

// Fields of relayed responses.
inline constexpr std::string_view kOutcomeField = "Filbertbeam-Outcome";
// Present if the owner created the response itself; holds the reason.
inline constexpr std::string_view kRefusalField = "Filbertbeam-Refusal";
inline constexpr std::string_view kLoadField = "Filbertbeam-Load";
inline constexpr std::string_view kBackendServerField =
  "Filbertbeam-Backend-Server";
// Microseconds from the assignment of a slot to the head of the response.
inline constexpr std::string_view kBackendTimeField =
  "Filbertbeam-Backend-Time-Us";

// Time until the deadline of a request in milliseconds; read from callers and
// sent to backend servers.
inline constexpr std::string_view kRequestTimeoutField = "Request-Timeout-Ms";

// Removes every field with the relay prefix.
void
StripRelayFields(HttpFields& aFields);

} // namespace filbertbeam
