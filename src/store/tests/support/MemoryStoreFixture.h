#pragma once

#include "store/MemoryObjectStore.h"

namespace filbertbeam {

// Runs the contract suite against the in-memory store.
struct MemoryStoreFixture
{
  MemoryObjectStore memory;

  ObjectStore& Store() { return memory; }
  void SetFaults(const StoreFaults& aFaults) { memory.SetFaults(aFaults); }
  StoreCallCounts Counts() { return memory.Counts(); }
};

} // namespace filbertbeam
