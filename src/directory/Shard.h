#pragma once

#include <cstdint>
#include <string>

namespace filbertbeam {

// A part of the backend servers of a service that one host owns.
struct Shard
{
  std::string service;
  std::uint32_t index = 0;
  // Shards of the service; a power of two, so that half of the servers keep
  // their shard when the number changes.
  std::uint32_t count = 1;
};

} // namespace filbertbeam
