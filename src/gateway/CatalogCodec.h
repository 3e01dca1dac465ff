#pragma once

#include "catalog/WriteOrder.h"
#include "directory/BackendServerRecord.h"
#include "routing/RoutingTable.h"

#include <memory>
#include <optional>

namespace filbertbeam {

// Decodes the catalog objects that a deployment's operator and backend servers
// write. Orders the writes of backend servers.
class CatalogCodec : public WriteOrder
{
public:
  // Returns null and sets aReason when any part of the document is invalid.
  virtual std::shared_ptr<const RoutingTable> ReadConfiguration(
    const CatalogObject& aObject,
    std::string& aReason) const = 0;

  // Returns nullopt and sets aReason when the object does not describe a
  // backend server.
  virtual std::optional<BackendServerRecord> ReadBackendServer(
    const CatalogObject& aObject,
    Instant aNow,
    std::string& aReason) const = 0;
};

} // namespace filbertbeam
