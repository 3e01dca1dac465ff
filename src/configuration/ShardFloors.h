#pragma once

#include "configuration/Configuration.h"

#include <span>

namespace filbertbeam {

// Divides the servers that may be ejected from a service among its shards and
// sets the floor of each shard. Every host computes the same division from the
// configuration, so the owners of the shards keep the service's floor without
// communicating, whichever servers they eject.
void
AssignShardFloors(double aServiceFloor, std::span<Shard> aShards);

} // namespace filbertbeam
