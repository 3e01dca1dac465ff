#pragma once

#include "configuration/ConfigurationSource.h"
#include "store/ObjectStore.h"

namespace filbertbeam {

// A source that reads a configuration from the object store.
class StoreConfigurationSource final : public ConfigurationSource
{
public:
  // aStore has to outlive the source.
  explicit StoreConfigurationSource(ObjectStore& aStore);

  std::string_view Name() const override { return "store"; }
  void FetchHead(Callback aCallback) override;
  void FetchPart(std::string_view aSha256, Callback aCallback) override;

private:
  void Fetch(std::string_view aKey, Callback aCallback);

  ObjectStore& store_;
};

} // namespace filbertbeam
