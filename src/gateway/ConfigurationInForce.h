#pragma once

#include "catalog/CatalogFollower.h"
#include "gateway/CatalogCodec.h"

#include <memory>
#include <optional>

namespace filbertbeam {

// The configuration by which this host routes: the one with the highest version
// number of its own that was read. It stays in force when the catalog, restored
// from a copy, shows an older one.
class ConfigurationInForce
{
public:
  explicit ConfigurationInForce(const CatalogCodec& aCodec)
    : codec_(aCodec)
  {
  }

  // Reads aObject. Returns true if it is in force now; it is refused, with a
  // line in the log, if it is invalid.
  bool Apply(const CatalogObject& aObject);

  // Null until the first configuration is in force.
  const std::shared_ptr<const RoutingTable>& Routing() const
  {
    return routing_;
  }
  // Its version number; 0 without one.
  std::uint64_t Version() const { return routing_ ? routing_->Version() : 0; }
  // Returns the object in force if aShown, what the catalog shows, is another
  // one.
  std::optional<CatalogObject> ObjectUnlike(
    const CatalogFollower::Objects& aShown) const;

private:
  // Logs when the catalog begins and ceases to show an older configuration.
  void LogIfKept(const RoutingTable& aShown);

  const CatalogCodec& codec_;
  std::shared_ptr<const RoutingTable> routing_;
  CatalogObject object_;
  // Objects up to this version were refused.
  CatalogVersion refusedVersion_;
  // The catalog shows an older configuration.
  bool isKept_ = false;
};

} // namespace filbertbeam
