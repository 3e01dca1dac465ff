#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// The object that names the configuration in force.
inline constexpr std::string_view kConfigurationHeadKey = "config/head";

struct ConfigurationPartReference
{
  // SHA-256 of the part, 64 lower-case hexadecimal digits; also its name.
  std::string sha256;
  std::uint64_t bytes = 0;

  bool operator==(const ConfigurationPartReference&) const = default;
};

// Who made a configuration, and when.
struct ConfigurationAcceptance
{
  std::uint64_t revision = 0;
  // Random; tells the own write from another's when an answer was lost.
  std::string nonce;
  std::string author;
  // Wall time of the publisher, of millisecond precision.
  WallTime acceptedAt;

  bool operator==(const ConfigurationAcceptance&) const = default;
};

// The small document whose conditional update accepts a configuration.
struct ConfigurationHead
{
  static constexpr std::size_t kMaxHistory = 16;

  ConfigurationAcceptance acceptance;
  std::vector<ConfigurationPartReference> parts;
  // The acceptances before this one, latest first, at most kMaxHistory.
  std::vector<ConfigurationAcceptance> history;

  bool operator==(const ConfigurationHead&) const = default;

  std::uint64_t Revision() const { return acceptance.revision; }

  // JSON with a checksum.
  std::string Format() const;

  // Returns nothing and fills aReason when aText is no whole, unchanged head.
  static std::optional<ConfigurationHead> Parse(std::string_view aText,
                                                std::string& aReason);
};

} // namespace filbertbeam
