#pragma once

#include "balancing/SelectionService.h"
#include "catalog/CatalogFollower.h"

#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// What a host has read from the catalog, for a peer that starts while the
// catalog is away.
struct PeerSnapshot
{
  CatalogFollower::Objects configuration;
  CatalogFollower::Objects backendServers;
  std::vector<PeerHost> hosts;
};

// JSON text.
std::string
EncodePeerSnapshot(const PeerSnapshot& aSnapshot);

// Nothing when the text is no snapshot, or holds no configuration.
std::optional<PeerSnapshot>
DecodePeerSnapshot(std::string_view aText);

} // namespace filbertbeam
