#pragma once

#include "http/tests/support/EventLoop.h"
#include "store/ObjectStore.h"

#include <boost/test/unit_test.hpp>

namespace filbertbeam {

// Makes a call and waits for its result, for example
// Await<StoredObject>([&](auto aCallback) { store.Get("key", aCallback); }).
template<typename Value, typename Call>
StoreResult<Value>
Await(const Call& aCall)
{
  // Shared with the callback, which may still run after the wait timed out.
  auto response = std::make_shared<std::optional<StoreResult<Value>>>();
  aCall([response](const StoreResult<Value>& aResult) {
    BOOST_TEST(!response->has_value(), "the callback ran twice");
    *response = aResult;
  });
  BOOST_TEST(!response->has_value(), "the callback ran during the call");
  BOOST_REQUIRE(testing::WaitUntil([&] { return response->has_value(); }));
  return **response;
}

inline StoreResult<StoredObject>
AwaitGet(ObjectStore& aStore, std::string_view aKey)
{
  return Await<StoredObject>([&](ObjectStore::ObjectCallback aCallback) {
    aStore.Get(aKey, std::move(aCallback));
  });
}

inline StoreResult<std::uint64_t>
AwaitCreate(ObjectStore& aStore, std::string_view aKey, std::string_view aValue)
{
  return Await<std::uint64_t>([&](ObjectStore::VersionCallback aCallback) {
    aStore.Create(aKey, aValue, std::move(aCallback));
  });
}

inline StoreResult<std::uint64_t>
AwaitUpdate(ObjectStore& aStore,
            std::string_view aKey,
            std::string_view aValue,
            std::uint64_t aExpectedVersion)
{
  return Await<std::uint64_t>([&](ObjectStore::VersionCallback aCallback) {
    aStore.Update(aKey, aValue, aExpectedVersion, std::move(aCallback));
  });
}

inline StoreResult<StoredObject>
AwaitWatch(ObjectStore& aStore,
           std::string_view aKey,
           std::uint64_t aAfterVersion,
           std::chrono::milliseconds aTimeout)
{
  return Await<StoredObject>([&](ObjectStore::ObjectCallback aCallback) {
    aStore.Watch(aKey, aAfterVersion, aTimeout, std::move(aCallback));
  });
}

inline StoreResult<std::vector<std::string>>
AwaitList(ObjectStore& aStore, std::string_view aPrefix)
{
  return Await<std::vector<std::string>>(
    [&](ObjectStore::ListCallback aCallback) {
      aStore.List(aPrefix, std::move(aCallback));
    });
}

} // namespace filbertbeam

// Lets Boost.Test print the error of a call.
namespace filbertbeam {

inline std::ostream&
operator<<(std::ostream& aStream, StoreError aError)
{
  static const char* const kNames[] = {
    "None", "NotFound", "Conflict", "Unavailable", "Invalid"
  };
  return aStream << kNames[static_cast<int>(aError)];
}

} // namespace filbertbeam
