#pragma once

#include "catalog/ObjectCatalog.h"
#include "store/ObjectStore.h"

#include <QObject>

#include <memory>

namespace filbertbeam {

// Keeps objects in a catalog. The versions are the catalog's revisions, so
// they grow over all objects.
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
  // One call while the catalog remembers the changes since aAfterVersion, and
  // another to read the object when the time is over.
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
