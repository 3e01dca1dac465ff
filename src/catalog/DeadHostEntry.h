#pragma once

#include "catalog/ObjectCatalog.h"

#include <chrono>
#include <string>

namespace filbertbeam {

// How long nothing must have been received from a host before its entry is
// removed. This is longer than the restart of a machine and than partitions
// between failure domains usually take; a host that returns later costs two
// writes.
inline constexpr std::chrono::minutes kDeadHostRemovalDelay{ 10 };

// Removes the entry of another host from aCollection and logs the result. After
// a failure the entry remains and is found again later.
void
RemoveDeadHostEntry(ObjectCatalog& aCatalog,
                    Collection aCollection,
                    const std::string& aHost);

} // namespace filbertbeam
