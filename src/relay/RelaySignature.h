#pragma once

#include "http/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// Carries the signature of a relayed request head.
inline constexpr std::string_view kSignatureField = "Filbertbeam-Signature";

// One run of the daemon on one host. The name must not contain a semicolon.
struct RelayIdentity
{
  std::string host;
  // Random number made at the start of the process.
  std::uint64_t incarnation = 0;

  bool operator==(const RelayIdentity&) const = default;
};

// What a signature states besides the head itself.
struct RelaySignature
{
  RelayIdentity entry;
  RelayIdentity owner;
  // Unique among the heads that this run of the entry host signed.
  std::uint64_t number = 0;
  // Milliseconds since 1970 on the entry host's clock.
  std::int64_t wallTime = 0;
  // 64 hexadecimal digits.
  std::string mac;
};

// The value of kSignatureField.
std::string
FormatRelaySignature(const RelaySignature& aSignature);
std::optional<RelaySignature>
ParseRelaySignature(std::string_view aText);

// HMAC-SHA-256 over the signature without its mac, method, target, body length
// and the relay fields of aHead except the signature itself.
std::string
ComputeRelayMac(std::string_view aSecret,
                const RelaySignature& aSignature,
                const HttpRequestHead& aHead);

} // namespace filbertbeam
