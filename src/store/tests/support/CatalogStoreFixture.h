#pragma once

#include "platform/StoreCatalog.h"
#include "platform/standin/StoreStandIn.h"
#include "store/CatalogObjectStore.h"
#include "store/MemoryObjectStore.h"

#include <boost/test/unit_test.hpp>

namespace filbertbeam {

// Runs the contract suite against a stand-in of the platform's store, over its
// published protocol.
struct CatalogStoreFixture
{
  CatalogStoreFixture()
  {
    std::string reason;
    standIn = StoreStandIn::Create({ "127.0.0.1", 0 }, reason);
    BOOST_REQUIRE_MESSAGE(standIn != nullptr, reason);
    store = Connect();
  }

  std::unique_ptr<ObjectCatalog> OpenCatalog() const
  {
    std::string reason;
    auto catalog = StoreCatalog::Create({ { "127.0.0.1", standIn->Port() } },
                                        StoreCatalog::DefaultLimits(),
                                        reason);
    BOOST_REQUIRE_MESSAGE(catalog != nullptr, reason);
    return catalog;
  }
  std::unique_ptr<CatalogObjectStore> Connect() const
  {
    return std::make_unique<CatalogObjectStore>(OpenCatalog());
  }

  ObjectStore& Store() { return *store; }
  void SetFaults(const StoreFaults& aFaults)
  {
    StoreStandInFaults faults;
    faults.isUnavailable = aFaults.isUnavailable;
    faults.delay = aFaults.delay;
    faults.responseDelay = aFaults.responseDelay;
    faults.lostWriteResponses = aFaults.lostWriteResponses;
    faults.lateWrites = aFaults.lateWrites;
    standIn->SetFaults(faults);
  }
  StoreCallCounts Counts() { return standIn->Counts(); }

  std::unique_ptr<StoreStandIn> standIn;
  std::unique_ptr<CatalogObjectStore> store;
};

} // namespace filbertbeam
