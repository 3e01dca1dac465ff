#pragma once

#include "store/MemoryObjectStore.h"

namespace filbertbeam {

// The contract suite against the store within the process.
struct MemoryStoreFixture
{
  MemoryObjectStore memory;

  ObjectStore& Store() { return memory; }
  void SetFaults(const StoreFaults& aFaults) { memory.SetFaults(aFaults); }
  StoreCallCounts Counts() { return memory.Counts(); }
};

} // namespace filbertbeam
