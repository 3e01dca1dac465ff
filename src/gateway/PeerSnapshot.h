#pragma once

#include "balancing/SelectionService.h"
#include "catalog/CatalogFollower.h"

#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// The catalog data that a host has read, sent to peers that cannot read the
// catalog themselves.
struct PeerSnapshot
{
  CatalogCopy configuration;
  CatalogCopy backendServers;
  std::vector<PeerHost> hosts;
};

// The changes that a host has read since a given version, sent to peers that
// follow it. A part has a failure when the host's history does not contain all
// of its changes.
struct PeerChanges
{
  CatalogChanges configuration;
  CatalogChanges backendServers;
};

QJsonObject
CatalogObjectToJson(const CatalogObject& aObject);

CatalogObject
CatalogObjectFromJson(const QJsonObject& aItem);

// Encodes the description of a host for the catalog and for snapshots.
QJsonObject
PeerHostToJson(const PeerHost& aHost);

// Returns nullopt when the object contains no valid address.
std::optional<PeerHost>
PeerHostFromJson(const std::string& aName, const QJsonObject& aObject);

// Returns JSON text.
std::string
EncodePeerSnapshot(const PeerSnapshot& aSnapshot);

// Returns nullopt when the text is not a snapshot or contains no configuration.
std::optional<PeerSnapshot>
DecodePeerSnapshot(std::string_view aText);

std::string
EncodePeerChanges(const PeerChanges& aChanges);

// Returns nullopt when the text is not an encoding of changes.
std::optional<PeerChanges>
DecodePeerChanges(std::string_view aText);

} // namespace filbertbeam
