#pragma once

#include <cstdint>

namespace filbertbeam {

// A part of the backend servers of a service that one host owns.
struct Shard
{
  std::uint32_t index = 0;
  // Shards of the service; a power of two, so that half of the servers keep
  // their shard when the number changes. 0 for a service that is not divided.
  std::uint32_t count = 0;

  bool operator==(const Shard&) const = default;
};

} // namespace filbertbeam
