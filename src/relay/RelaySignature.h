#pragma once

#include "http/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// Field that holds the signature of a relayed request head.
inline constexpr std::string_view kSignatureField = "Filbertbeam-Signature";

// One run of the daemon on one host. The host's name must not contain a
// semicolon, which separates the parts of a signature field.
struct RelayIdentity
{
  std::string host;
  // Random number generated at the start of the process.
  std::uint64_t incarnation = 0;

  bool operator==(const RelayIdentity&) const = default;
};

// The MAC of a head and the values that are signed along with the head.
struct RelaySignature
{
  RelayIdentity entry;
  RelayIdentity owner;
  // Unique among the heads signed by this run of the entry host.
  std::uint64_t number = 0;
  // Unix time in milliseconds by the entry host's clock.
  std::int64_t wallTime = 0;
  // 64 hexadecimal digits.
  std::string mac;
};

// Returns the value of kSignatureField.
std::string
FormatRelaySignature(const RelaySignature& aSignature);
std::optional<RelaySignature>
ParseRelaySignature(std::string_view aText);

// Returns the HMAC-SHA-256, in hexadecimal, of the other members of aSignature
// and of the method, target, body length and relay fields of aHead, without the
// signature field.
std::string
ComputeRelayMac(std::string_view aSecret,
                const RelaySignature& aSignature,
                const HttpRequestHead& aHead);

} // namespace filbertbeam
