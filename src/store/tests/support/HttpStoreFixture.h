#pragma once

#include "standins/platform/PlatformStandIn.h"
#include "store/HttpObjectStore.h"

#include <boost/test/unit_test.hpp>

namespace filbertbeam {

// The contract suite against the HTTP client and the stand-in of the platform.
struct HttpStoreFixture
{
  HttpStoreFixture()
  {
    std::string reason;
    standIn = PlatformStandIn::Create({ "127.0.0.1", 0 }, reason);
    BOOST_REQUIRE_MESSAGE(standIn != nullptr, reason);
    store =
      HttpObjectStore::Create({ { "127.0.0.1", standIn->Port() } }, {}, reason);
    BOOST_REQUIRE_MESSAGE(store != nullptr, reason);
  }

  ObjectStore& Store() { return *store; }
  void SetFaults(const StoreFaults& aFaults)
  {
    standIn->Store().SetFaults(aFaults);
  }
  StoreCallCounts Counts() { return standIn->Store().Counts(); }

  std::unique_ptr<PlatformStandIn> standIn;
  std::unique_ptr<HttpObjectStore> store;
};

} // namespace filbertbeam
