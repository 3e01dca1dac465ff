#pragma once

#include "catalog/ObjectCatalog.h"
#include "directory/BackendServerRecord.h"
#include "routing/RoutingTable.h"

#include <memory>
#include <optional>

namespace filbertbeam {

// Decodes what a deployment's operator and backend servers write into its
// catalog.
class CatalogCodec
{
public:
  virtual ~CatalogCodec() = default;

  // Null, with a reason, when any part of the document is broken.
  virtual std::shared_ptr<const RoutingTable> ReadConfiguration(
    const CatalogObject& aObject,
    std::string& aReason) const = 0;

  // Nothing, with a reason, when the object describes no backend server.
  virtual std::optional<BackendServerRecord> ReadBackendServer(
    const CatalogObject& aObject,
    Instant aNow,
    std::string& aReason) const = 0;
};

} // namespace filbertbeam
