#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// Key of the object that names the parts of the accepted configuration.
inline constexpr std::string_view kConfigurationHeadKey = "config/head";

struct ConfigurationPartReference
{
  // SHA-256 of the part, 64 lower-case hexadecimal digits. It is also the name
  // of the part.
  std::string sha256;
  std::uint64_t bytes = 0;

  bool operator==(const ConfigurationPartReference&) const = default;
};

// Identifies an accepted configuration, its author and the time of acceptance.
struct ConfigurationAcceptance
{
  std::uint64_t revision = 0;
  // Random; lets a publisher recognize its own write after a lost response.
  std::string nonce;
  std::string author;
  // Wall-clock time of the publisher, with millisecond precision.
  WallTime acceptedAt;

  bool operator==(const ConfigurationAcceptance&) const = default;
};

// The small document that lists the parts of a configuration. Its conditional
// update in the store accepts the configuration.
struct ConfigurationHead
{
  static constexpr std::size_t kMaxHistory = 16;

  ConfigurationAcceptance acceptance;
  std::vector<ConfigurationPartReference> parts;
  // The previous acceptances, the latest first, at most kMaxHistory.
  std::vector<ConfigurationAcceptance> history;

  bool operator==(const ConfigurationHead&) const = default;

  std::uint64_t Revision() const { return acceptance.revision; }

  // Returns the head as JSON with a checksum.
  std::string Format() const;

  // Returns nothing and sets aReason if aText is not a complete, undamaged
  // head.
  static std::optional<ConfigurationHead> Parse(std::string_view aText,
                                                std::string& aReason);
};

} // namespace filbertbeam
