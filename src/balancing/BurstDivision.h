#pragma once

#include "balancing/OwnerRanking.h"

#include <cstdint>
#include <string_view>

namespace filbertbeam {

// The part of a service's burst that one host may spend, from 0 to 1.
struct BurstPart
{
  double share = 0;
  // The part of the share that takes effect without waiting for a window.
  double immediateShare = 0;
};

// Divides the burst of aService among the hosts that aRanking knows, mostly by
// their rank as owners of its shards. The parts of all hosts with the same host
// list add up to less than one.
BurstPart
DivideBurst(OwnerRanking& aRanking,
            std::string_view aService,
            std::uint32_t aShardCount);

} // namespace filbertbeam
