#pragma once

#include <cstdint>
#include <string>

namespace filbertbeam {

// The entry that a host writes about itself into the list of hosts. The list
// may be outdated: entries of hosts that ended without notice stay for a while.
struct ListedHost
{
  std::string host;
  std::string region;
  std::string domain;
  // IP address in text form.
  std::string address;
  // Ports of the fleet's own hosts; 0 for other machines.
  std::uint16_t relayPort = 0;
  std::uint16_t controlPort = 0;
  bool isLeaving = false;

  bool operator==(const ListedHost&) const = default;
};

} // namespace filbertbeam
