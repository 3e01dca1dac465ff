#pragma once

#include "catalog/ObjectCatalog.h"
#include "store/HostList.h"

#include <memory>

namespace filbertbeam {

// The hosts' own entries in a catalog.
class CatalogHostList final : public HostList
{
public:
  explicit CatalogHostList(std::unique_ptr<ObjectCatalog> aCatalog);

  void Fetch(Callback aCallback) override;
  void Write(const ListedHost& aHost, WriteCallback aCallback) override;
  void Remove(std::string_view aHost, WriteCallback aCallback) override;

private:
  class FetchCall;

  std::unique_ptr<ObjectCatalog> catalog_;
};

} // namespace filbertbeam
