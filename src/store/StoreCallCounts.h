#pragma once

#include <cstdint>

namespace filbertbeam {

// Calls to an object store since its start, failed ones included.
struct StoreCallCounts
{
  std::uint64_t gets = 0;
  std::uint64_t creates = 0;
  std::uint64_t updates = 0;
  // A watch counts as one call, however long it waits.
  std::uint64_t watches = 0;
  std::uint64_t lists = 0;

  std::uint64_t Reads() const { return gets + watches + lists; }
  std::uint64_t Writes() const { return creates + updates; }
};

} // namespace filbertbeam
