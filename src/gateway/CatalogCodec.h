#pragma once

#include "catalog/ObjectCatalog.h"
#include "directory/BackendServerRecord.h"
#include "routing/RoutingTable.h"

#include <memory>
#include <optional>

namespace filbertbeam {

// Decodes the catalog objects that a deployment's operator and backend servers
// write.
class CatalogCodec
{
public:
  virtual ~CatalogCodec() = default;

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

  // Returns the number of the write of a backend server that created the
  // object; 0 if it has none. Numbers increase within a run of the server.
  virtual std::uint64_t ReadWriteNumber(const CatalogObject& aObject) const = 0;
};

} // namespace filbertbeam
