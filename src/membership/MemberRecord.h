#pragma once

#include "http/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// Identity and endpoints of a host. They are sent only where a receiver may not
// have them from the host list.
struct HostDetails
{
  std::string host;
  std::string region;
  std::string domain;
  Endpoint relay;
  Endpoint control;

  bool operator==(const HostDetails&) const = default;
};

// State of a host and its links. Only the host itself writes the record; others
// forward it unchanged. Of two records of one host, the one with the greater
// version is newer, also across restarts of the host.
struct MemberRecord
{
  // HostId of the host's name.
  std::uint64_t id = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  bool isLeaving = false;
  // Revision of the configuration in force.
  std::uint64_t configurationRevision = 0;
  // ShortIds of the partners to which this host has no link that works in both
  // directions.
  std::vector<std::uint32_t> disconnectedPartners;
  std::optional<HostDetails> details;

  bool operator==(const MemberRecord&) const = default;
};

// Returns the 64-bit hash of a host's name, which identifies the host on the
// wire.
std::uint64_t
HostId(std::string_view aHost);

// Returns the short form of an id for lists of a host's few partners, where a
// collision of 32 bits is negligible.
inline std::uint32_t
ShortId(std::uint64_t aId)
{
  return static_cast<std::uint32_t>(aId);
}

} // namespace filbertbeam
