#pragma once

#include "catalog/ObjectCatalog.h"

#include <chrono>
#include <string>

namespace filbertbeam {

// An entry whose host gave no sign of life for this long is removed. Longer
// than a restart of a machine and than cuts between failure domains usually
// take; a host that comes back costs two writes.
inline constexpr std::chrono::minutes kDeadHostRemovalDelay{ 10 };

// Takes the entry of another host out of aCollection and logs the result. A
// failure leaves an entry that is found again later.
void
RemoveDeadHostEntry(ObjectCatalog& aCatalog,
                    Collection aCollection,
                    const std::string& aHost);

} // namespace filbertbeam
