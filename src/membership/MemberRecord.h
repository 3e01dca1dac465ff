#pragma once

#include "http/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// What identifies and locates a host. Sent only where a receiver may not have
// it from the host list.
struct HostDetails
{
  std::string host;
  std::string region;
  std::string domain;
  Endpoint relay;
  Endpoint control;

  bool operator==(const HostDetails&) const = default;
};

// What a host says about itself and its links. Only the host itself writes it;
// others pass it on unchanged. Of two records of one host, the one with the
// greater version is newer, across restarts of the host too.
struct MemberRecord
{
  // HostId of the host's name.
  std::uint64_t id = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  bool isLeaving = false;
  // Revision of the configuration in force.
  std::uint64_t configurationRevision = 0;
  // Partners with which this host has no link that works in both directions.
  std::vector<std::uint32_t> disconnectedPartners;
  std::optional<HostDetails> details;

  bool operator==(const MemberRecord&) const = default;
};

// 64-bit hash of a host's name, which identifies it on the wire.
std::uint64_t
HostId(std::string_view aHost);

// The short form used in lists of a host's few partners, where a collision of
// 32 bits is negligible.
inline std::uint32_t
ShortId(std::uint64_t aId)
{
  return static_cast<std::uint32_t>(aId);
}

} // namespace filbertbeam
