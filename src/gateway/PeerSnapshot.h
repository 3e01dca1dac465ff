#pragma once

#include "balancing/SelectionService.h"
#include "catalog/CatalogFollower.h"

#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// What a host has read from the catalog, for a peer that the catalog does not
// answer.
struct PeerSnapshot
{
  CatalogCopy configuration;
  CatalogCopy backendServers;
  std::vector<PeerHost> hosts;
};

// What a host has read since a peer did, for one that follows it. With a
// failure where it does not know all changes.
struct PeerChanges
{
  CatalogChanges configuration;
  CatalogChanges backendServers;
};

// How a host describes itself in the catalog and in snapshots.
QJsonObject
PeerHostToJson(const PeerHost& aHost);

// Nothing when the object holds no address.
std::optional<PeerHost>
PeerHostFromJson(const std::string& aName, const QJsonObject& aObject);

// JSON text.
std::string
EncodePeerSnapshot(const PeerSnapshot& aSnapshot);

// Nothing when the text is no snapshot, or holds no configuration.
std::optional<PeerSnapshot>
DecodePeerSnapshot(std::string_view aText);

std::string
EncodePeerChanges(const PeerChanges& aChanges);

// Nothing when the text tells of no changes.
std::optional<PeerChanges>
DecodePeerChanges(std::string_view aText);

} // namespace filbertbeam
