#include "catalog/DeadHostEntry.h"

#include "base/Log.h"

namespace filbertbeam {

void
RemoveDeadHostEntry(ObjectCatalog& aCatalog,
                    Collection aCollection,
                    const std::string& aHost)
{
  aCatalog.Remove(aCollection, aHost, [aHost](const CatalogFailure& aFailure) {
    const bool isRemoved = aFailure.error == CatalogError::None;
    LogEvent(isRemoved ? LogLevel::Info : LogLevel::Warning,
             isRemoved ? "dead_host_removed" : "dead_host_not_removed",
             { { "host", aHost }, { "reason", aFailure.reason } });
  });
}

} // namespace filbertbeam
