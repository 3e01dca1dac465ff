#include "store/tests/support/CatalogStoreFixture.h"
#include "store/tests/support/MemoryStoreFixture.h"
#include "store/tests/support/StoreCalls.h"

#include <QElapsedTimer>

#include <boost/test/unit_test.hpp>

#include <tuple>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using std::chrono::milliseconds;

// Checks the documented behaviour of ObjectStore for each implementation.
BOOST_AUTO_TEST_SUITE(ObjectStoreContract)

using Stores = std::tuple<MemoryStoreFixture, CatalogStoreFixture>;

BOOST_AUTO_TEST_SUITE(Objects)

// Guards against a value that is altered or truncated in transit.
BOOST_AUTO_TEST_CASE_TEMPLATE(AValueReadsBackAsWritten, Fixture, Stores)
{
  Fixture fixture;
  const std::string values[] = { "",
                                 "plain",
                                 std::string("\0\r\n\r\n\xff", 6),
                                 std::string(kMaxObjectBytes, 'x') };
  int number = 0;
  for (const std::string& value : values) {
    const std::string key = "values/" + std::to_string(number++);
    const auto created = AwaitCreate(fixture.Store(), key, value);
    BOOST_REQUIRE(created.value);
    BOOST_TEST(*created.value > 0U);
    const auto read = AwaitGet(fixture.Store(), key);
    BOOST_REQUIRE(read.value);
    BOOST_TEST(read.value->key == key);
    BOOST_TEST((read.value->value == value));
    BOOST_TEST(read.value->version == *created.value);
  }
}

// Guards against reporting an absent object as an outage, or the reverse.
BOOST_AUTO_TEST_CASE_TEMPLATE(AnAbsentObjectIsNotFound, Fixture, Stores)
{
  Fixture fixture;
  const auto read = AwaitGet(fixture.Store(), "absent");
  BOOST_TEST(read.error == StoreError::NotFound);
  BOOST_TEST(!read.value);
}

// Guards against two concurrent creators that both succeed.
BOOST_AUTO_TEST_CASE_TEMPLATE(ASecondCreateConflicts, Fixture, Stores)
{
  Fixture fixture;
  BOOST_TEST(AwaitCreate(fixture.Store(), "key", "first").error ==
             StoreError::None);
  BOOST_TEST(AwaitCreate(fixture.Store(), "key", "second").error ==
             StoreError::Conflict);
  BOOST_TEST(AwaitGet(fixture.Store(), "key").value->value == "first");
}

// Guards against a lost update.
BOOST_AUTO_TEST_CASE_TEMPLATE(AnUpdateNeedsTheCurrentVersion, Fixture, Stores)
{
  Fixture fixture;
  const auto created = AwaitCreate(fixture.Store(), "key", "first");
  BOOST_REQUIRE(created.value);
  const auto updated =
    AwaitUpdate(fixture.Store(), "key", "second", *created.value);
  BOOST_REQUIRE(updated.value);
  BOOST_TEST(*updated.value > *created.value);
  BOOST_TEST(
    AwaitUpdate(fixture.Store(), "key", "third", *created.value).error ==
    StoreError::Conflict);
  BOOST_TEST(
    AwaitUpdate(fixture.Store(), "key", "third", *updated.value + 1).error ==
    StoreError::Conflict);
  BOOST_TEST(AwaitGet(fixture.Store(), "key").value->value == "second");
}

// Guards against a write that leaves the version unchanged, so that a writer
// can't determine whether its own write or another's is in effect.
BOOST_AUTO_TEST_CASE_TEMPLATE(AnUpdateWithTheSameValueCreatesANewVersion,
                              Fixture,
                              Stores)
{
  Fixture fixture;
  const auto created = AwaitCreate(fixture.Store(), "key", "value");
  BOOST_REQUIRE(created.value);
  const auto first =
    AwaitUpdate(fixture.Store(), "key", "value", *created.value);
  BOOST_REQUIRE(first.value);
  BOOST_TEST(*first.value > *created.value);
  const auto second =
    AwaitUpdate(fixture.Store(), "key", "value", *first.value);
  BOOST_REQUIRE(second.value);
  BOOST_TEST(*second.value > *first.value);
}

// Guards against an update that creates an object.
BOOST_AUTO_TEST_CASE_TEMPLATE(AnUpdateOfAnAbsentObjectConflicts,
                              Fixture,
                              Stores)
{
  Fixture fixture;
  BOOST_TEST(AwaitUpdate(fixture.Store(), "key", "value", 1).error ==
             StoreError::Conflict);
  BOOST_TEST(AwaitUpdate(fixture.Store(), "key", "value", 0).error ==
             StoreError::Invalid);
  BOOST_TEST(AwaitGet(fixture.Store(), "key").error == StoreError::NotFound);
}

// Guards against a faulty request that is retried forever because it is
// reported as an outage.
BOOST_AUTO_TEST_CASE_TEMPLATE(FaultyRequestsAreInvalid, Fixture, Stores)
{
  Fixture fixture;
  const std::string tooLarge(kMaxObjectBytes + 1, 'x');
  BOOST_TEST(AwaitCreate(fixture.Store(), "key", tooLarge).error ==
             StoreError::Invalid);
  for (const std::string& key : { std::string(),
                                  std::string("a b"),
                                  std::string("a?watch=1"),
                                  std::string("a\r\nX: y"),
                                  std::string(kMaxObjectKeyBytes + 1, 'k') }) {
    BOOST_TEST(AwaitGet(fixture.Store(), key).error == StoreError::Invalid);
    BOOST_TEST(AwaitCreate(fixture.Store(), key, "").error ==
               StoreError::Invalid);
    BOOST_TEST(AwaitWatch(fixture.Store(), key, 0, milliseconds(5)).error ==
               StoreError::Invalid);
  }
  BOOST_TEST(AwaitList(fixture.Store(), "a b").error == StoreError::Invalid);
}

// Guards against a listing that omits keys or includes others that only sort
// next to the prefix.
BOOST_AUTO_TEST_CASE_TEMPLATE(AListingReturnsKeysWithThePrefixInOrder,
                              Fixture,
                              Stores)
{
  Fixture fixture;
  for (const char* key : { "b/2", "a/1", "b/1", "b0", "c/1" }) {
    AwaitCreate(fixture.Store(), key, "value");
  }
  const auto listed = AwaitList(fixture.Store(), "b/");
  BOOST_REQUIRE(listed.value);
  BOOST_TEST((*listed.value == std::vector<std::string>{ "b/1", "b/2" }));
  BOOST_TEST(AwaitList(fixture.Store(), "").value->size() == 5U);
  BOOST_TEST(AwaitList(fixture.Store(), "d").value->empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Watches)

// Guards against missing a change between a read and the watch.
BOOST_AUTO_TEST_CASE_TEMPLATE(ANewerVersionIsReturnedAtOnce, Fixture, Stores)
{
  Fixture fixture;
  const auto created = AwaitCreate(fixture.Store(), "key", "first");
  const auto seen =
    AwaitWatch(fixture.Store(), "key", 0, std::chrono::hours(1));
  BOOST_REQUIRE(seen.value);
  BOOST_TEST(seen.value->version == *created.value);
  const auto updated =
    AwaitUpdate(fixture.Store(), "key", "second", *created.value);
  const auto again =
    AwaitWatch(fixture.Store(), "key", *created.value, std::chrono::hours(1));
  BOOST_REQUIRE(again.value);
  BOOST_TEST(again.value->version == *updated.value);
  BOOST_TEST(again.value->value == "second");
}

// Guards against a watch that misses a write.
BOOST_AUTO_TEST_CASE_TEMPLATE(AWriteEndsTheWait, Fixture, Stores)
{
  Fixture fixture;
  ObjectStore& store = fixture.Store();
  const std::uint64_t version = *AwaitCreate(store, "key", "first").value;
  std::optional<StoreResult<StoredObject>> changed;
  std::optional<StoreResult<StoredObject>> created;
  store.Watch("key", version, std::chrono::hours(1), [&](const auto& aResult) {
    changed = aResult;
  });
  store.Watch("new", 0, std::chrono::hours(1), [&](const auto& aResult) {
    created = aResult;
  });
  RunFor(milliseconds(30));
  BOOST_TEST(!changed);
  BOOST_TEST(!created);
  AwaitCreate(store, "other", "value");
  RunFor(milliseconds(30));
  BOOST_TEST(!changed);
  BOOST_TEST(!created);
  AwaitUpdate(store, "key", "second", version);
  AwaitCreate(store, "new", "value");
  BOOST_REQUIRE(WaitUntil([&] { return changed && created; }));
  BOOST_TEST(changed->value->value == "second");
  BOOST_TEST(created->value->value == "value");
}

// Guards against a second callback at the timeout after one for a write.
BOOST_AUTO_TEST_CASE_TEMPLATE(AWatchCallsBackOnce, Fixture, Stores)
{
  Fixture fixture;
  int callbackCount = 0;
  fixture.Store().Watch(
    "key", 0, milliseconds(50), [&](const auto&) { ++callbackCount; });
  RunFor(milliseconds(20));
  const auto created = AwaitCreate(fixture.Store(), "key", "value");
  AwaitUpdate(fixture.Store(), "key", "value", *created.value);
  RunFor(milliseconds(100));
  BOOST_TEST(callbackCount == 1);
}

// Guards against a watch that never ends.
BOOST_AUTO_TEST_CASE_TEMPLATE(ATimeoutReturnsTheCurrentObject, Fixture, Stores)
{
  Fixture fixture;
  const auto created = AwaitCreate(fixture.Store(), "key", "first");
  const auto same =
    AwaitWatch(fixture.Store(), "key", *created.value, milliseconds(20));
  BOOST_REQUIRE(same.value);
  BOOST_TEST(same.value->version == *created.value);
  BOOST_TEST(AwaitWatch(fixture.Store(), "absent", 0, milliseconds(20)).error ==
             StoreError::NotFound);
}

// Guards against a watch that keeps waiting for an unavailable store.
BOOST_AUTO_TEST_CASE_TEMPLATE(AnOutageEndsTheWait, Fixture, Stores)
{
  Fixture fixture;
  std::optional<StoreResult<StoredObject>> seen;
  fixture.Store().Watch("key",
                        0,
                        std::chrono::hours(1),
                        [&](const auto& aResult) { seen = aResult; });
  RunFor(milliseconds(30));
  StoreFaults faults;
  faults.isUnavailable = true;
  fixture.SetFaults(faults);
  BOOST_REQUIRE(WaitUntil([&] { return seen.has_value(); }));
  BOOST_TEST(seen->error == StoreError::Unavailable);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Faults)

// Guards against reporting an outage as a missing object or a conflict.
BOOST_AUTO_TEST_CASE_TEMPLATE(CallsFailAsUnavailableDuringAnOutage,
                              Fixture,
                              Stores)
{
  Fixture fixture;
  ObjectStore& store = fixture.Store();
  StoreFaults faults;
  faults.isUnavailable = true;
  fixture.SetFaults(faults);
  BOOST_TEST(AwaitGet(store, "key").error == StoreError::Unavailable);
  BOOST_TEST(AwaitCreate(store, "key", "").error == StoreError::Unavailable);
  BOOST_TEST(AwaitUpdate(store, "key", "", 1).error == StoreError::Unavailable);
  BOOST_TEST(AwaitList(store, "").error == StoreError::Unavailable);
  BOOST_TEST(AwaitWatch(store, "key", 0, milliseconds(5)).error ==
             StoreError::Unavailable);
  fixture.SetFaults({});
  BOOST_TEST(AwaitGet(store, "key").error == StoreError::NotFound);
}

// Guards against a client that treats a lost response as a write without
// effect, or that retries the write by itself.
BOOST_AUTO_TEST_CASE_TEMPLATE(ALostResponseLeavesTheWriteInEffect,
                              Fixture,
                              Stores)
{
  Fixture fixture;
  ObjectStore& store = fixture.Store();
  StoreFaults faults;
  faults.lostWriteResponses = 2;
  fixture.SetFaults(faults);
  const auto created = AwaitCreate(store, "key", "first");
  BOOST_TEST(created.error == StoreError::Unavailable);
  BOOST_TEST(!created.isUnsent);
  const auto first = AwaitGet(store, "key");
  BOOST_REQUIRE(first.value);
  BOOST_TEST(first.value->value == "first");
  BOOST_TEST(AwaitUpdate(store, "key", "second", first.value->version).error ==
             StoreError::Unavailable);
  const auto second = AwaitGet(store, "key");
  BOOST_REQUIRE(second.value);
  BOOST_TEST(second.value->value == "second");
  BOOST_TEST(second.value->version > first.value->version);
  BOOST_TEST(AwaitUpdate(store, "key", "third", second.value->version).error ==
             StoreError::None);
  BOOST_TEST(fixture.Counts().Writes() == 3U);
}

// Guards against a slow store that blocks its caller or runs the callback
// twice.
BOOST_AUTO_TEST_CASE_TEMPLATE(ASlowStoreRespondsAfterItsDelay, Fixture, Stores)
{
  Fixture fixture;
  StoreFaults faults;
  faults.delay = milliseconds(60);
  fixture.SetFaults(faults);
  QElapsedTimer elapsed;
  elapsed.start();
  BOOST_TEST(AwaitCreate(fixture.Store(), "key", "").error == StoreError::None);
  BOOST_TEST(elapsed.elapsed() >= 60);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
