#pragma once

#include "catalog/ObjectCatalog.h"
#include "store/ObjectStore.h"

#include <QObject>

#include <memory>

namespace filbertbeam {

// An object store on top of a catalog. An object's version is the catalog
// version of its last write, with the generation in the upper bits, so versions
// increase across all objects and restores of the catalog.
class CatalogObjectStore final : public ObjectStore
{
public:
  explicit CatalogObjectStore(std::unique_ptr<ObjectCatalog> aCatalog);

  void Get(std::string_view aKey, ObjectCallback aCallback) override;
  void Create(std::string_view aKey,
              std::string_view aValue,
              VersionCallback aCallback) override;
  void Update(std::string_view aKey,
              std::string_view aValue,
              std::uint64_t aExpectedVersion,
              VersionCallback aCallback) override;
  // Takes one catalog call while the catalog still holds the changes since
  // aAfterVersion, and a further one that reads the object at the timeout.
  void Watch(std::string_view aKey,
             std::uint64_t aAfterVersion,
             std::chrono::milliseconds aTimeout,
             ObjectCallback aCallback) override;
  void List(std::string_view aPrefix, ListCallback aCallback) override;

private:
  class WatchCall;
  class ListCall;

  template<typename Value>
  void Refuse(std::string_view aReason,
              std::function<void(const StoreResult<Value>&)> aCallback);

  std::unique_ptr<ObjectCatalog> catalog_;
  QObject context_;
};

} // namespace filbertbeam
