#pragma once

#include "configuration/Configuration.h"

#include <span>

namespace filbertbeam {

// Divides what a service may lose by ejection among its shards, and sets the
// floor of each. Every host computes the same division from the configuration,
// so owners keep the service's floor without agreement, whatever they eject.
void
AssignShardFloors(double aServiceFloor, std::span<Shard> aShards);

} // namespace filbertbeam
