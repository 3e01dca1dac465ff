#include "store/MemoryObjectStore.h"
#include "store/tests/support/StoreCalls.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(MemoryStore)

// Guards against fault injection that applies a late write too early or lets it
// overwrite a newer object.
BOOST_AUTO_TEST_CASE(ALateWriteIsAppliedOnRequestIfItsConditionHolds)
{
  MemoryObjectStore store;
  StoreFaults faults;
  faults.lateWrites = 2;
  store.SetFaults(faults);
  BOOST_TEST(AwaitCreate(store, "a", "late").error == StoreError::Unavailable);
  BOOST_TEST(AwaitCreate(store, "b", "late").error == StoreError::Unavailable);
  BOOST_TEST(AwaitGet(store, "a").error == StoreError::NotFound);
  BOOST_TEST(AwaitCreate(store, "b", "newer").error == StoreError::None);
  BOOST_TEST(store.ApplyLateWrites() == 1);
  BOOST_TEST(AwaitGet(store, "a").value->value == "late");
  BOOST_TEST(AwaitGet(store, "b").value->value == "newer");
  BOOST_TEST(store.ApplyLateWrites() == 0);
}

// Guards against simulated hosts that do not see each other's writes or that
// share their faults.
BOOST_AUTO_TEST_CASE(SharedObjectsHaveSeparateFaults)
{
  const auto objects = std::make_shared<StoredObjects>();
  MemoryObjectStore near(objects);
  MemoryObjectStore far(objects);
  StoreFaults faults;
  faults.isUnavailable = true;
  faults.isConnectionRefused = true;
  far.SetFaults(faults);
  std::optional<StoreResult<StoredObject>> seen;
  near.Watch("key", 0, std::chrono::hours(1), [&](const auto& aResult) {
    seen = aResult;
  });
  const auto refused = AwaitCreate(far, "key", "far");
  BOOST_TEST(refused.error == StoreError::Unavailable);
  BOOST_TEST(refused.isUnsent);
  far.SetFaults({});
  BOOST_TEST(AwaitCreate(far, "key", "far").error == StoreError::None);
  BOOST_REQUIRE(WaitUntil([&] { return seen.has_value(); }));
  BOOST_TEST(seen->value->value == "far");
}

// Guards against measurements of the store's load that omit calls or count them
// twice.
BOOST_AUTO_TEST_CASE(CallsAreCountedByKind)
{
  MemoryObjectStore store;
  const auto created = AwaitCreate(store, "key", "");
  const auto updated = AwaitUpdate(store, "key", "", *created.value);
  AwaitUpdate(store, "key", "", *created.value);
  AwaitGet(store, "key");
  AwaitWatch(store, "key", *updated.value, milliseconds(30));
  AwaitList(store, "");
  const StoreCallCounts& counts = store.Counts();
  BOOST_TEST(counts.creates == 1U);
  BOOST_TEST(counts.updates == 2U);
  BOOST_TEST(counts.gets == 1U);
  BOOST_TEST(counts.watches == 1U);
  BOOST_TEST(counts.lists == 1U);
}

// Guards against a callback that runs after its store was destroyed.
BOOST_AUTO_TEST_CASE(ADestroyedStoreCallsNoCallback)
{
  bool wasCalled = false;
  {
    MemoryObjectStore store;
    store.Get("key", [&](const auto&) { wasCalled = true; });
    store.Watch(
      "key", 0, milliseconds(5), [&](const auto&) { wasCalled = true; });
  }
  RunFor(milliseconds(30));
  BOOST_TEST(!wasCalled);
}

BOOST_AUTO_TEST_SUITE_END()
