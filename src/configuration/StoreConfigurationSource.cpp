#include "configuration/StoreConfigurationSource.h"

#include "configuration/ConfigurationParts.h"

#include <utility>

namespace filbertbeam {

StoreConfigurationSource::StoreConfigurationSource(ObjectStore& aStore)
  : store_(aStore)
{
}

void
StoreConfigurationSource::FetchHead(Callback aCallback)
{
  Fetch(kConfigurationHeadKey, std::move(aCallback));
}

void
StoreConfigurationSource::FetchPart(std::string_view aSha256,
                                    Callback aCallback)
{
  Fetch(ConfigurationParts::KeyOf(aSha256), std::move(aCallback));
}

void
StoreConfigurationSource::Fetch(std::string_view aKey, Callback aCallback)
{
  store_.Get(aKey,
             [callback = std::move(aCallback), key = std::string(aKey)](
               const StoreResult<StoredObject>& aResult) {
               if (aResult.value) {
                 callback({ aResult.value->value, {} });
               } else {
                 callback({ std::nullopt, key + ": " + aResult.reason });
               }
             });
}

} // namespace filbertbeam
