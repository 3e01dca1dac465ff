#pragma once

#include <cstdint>

namespace filbertbeam {

// Numbers of calls to an object store since its start, including failed ones.
struct StoreCallCounts
{
  std::uint64_t gets = 0;
  std::uint64_t creates = 0;
  std::uint64_t updates = 0;
  // A watch counts as one call, no matter how long it waits.
  std::uint64_t watches = 0;
  std::uint64_t lists = 0;

  std::uint64_t Reads() const { return gets + watches + lists; }
  std::uint64_t Writes() const { return creates + updates; }
};

} // namespace filbertbeam
