#pragma once

#include <cstdint>

namespace filbertbeam {

// A subset of a service's backend servers that is owned by one host.
struct Shard
{
  std::uint32_t index = 0;
  // Number of shards of the service; a power of two, so that half of the
  // servers keep their shard when it doubles or halves. 0 for a service that is
  // not divided.
  std::uint32_t count = 0;

  bool operator==(const Shard&) const = default;
};

} // namespace filbertbeam
