#include "base/SeededRandom.h"
#include "base/SystemClock.h"
#include "catalog/tests/support/CatalogStub.h"
#include "catalog/tests/support/Versions.h"
#include "daemon/HostListFollower.h"
#include "http/tests/support/EventLoop.h"
#include "membership/ListedHostJson.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <utility>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

// A catalog with one collection that completes every call but watches at once.
class FakeCatalog final : public CatalogStub
{
public:
  void List(Collection,
            std::string_view,
            ListFreshness,
            PageCallback aCallback) override
  {
    CatalogPage page;
    page.failure = Failure();
    page.version = At(revision);
    for (const auto& [name, object] : objects) {
      page.objects.push_back(object);
    }
    aCallback(std::move(page));
  }
  void Watch(Collection,
             const CatalogVersion&,
             std::chrono::milliseconds,
             ChangesCallback aCallback) override
  {
    watches.push_back(std::move(aCallback));
  }
  void Put(Collection,
           std::string_view aName,
           const QJsonObject& aContent,
           WriteCallback aCallback) override
  {
    writes += 1;
    const CatalogFailure failure = Failure();
    if (failure.error == CatalogError::None) {
      Change({ std::string(aName), At(++revision), aContent, {} }, false);
    }
    aCallback(failure);
  }
  void Remove(Collection,
              std::string_view aName,
              WriteCallback aCallback) override
  {
    const CatalogFailure failure = Failure();
    if (failure.error == CatalogError::None) {
      Change({ std::string(aName), At(++revision), {}, {} }, true);
    }
    aCallback(failure);
  }

  // Writes or deletes an entry and notifies the pending watches.
  void Change(const CatalogObject& aObject, bool aIsDeleted)
  {
    objects.erase(aObject.name);
    if (!aIsDeleted) {
      objects[aObject.name] = aObject;
    }
    for (const ChangesCallback& watch : std::exchange(watches, {})) {
      watch({ {}, { { aObject, aIsDeleted } }, At(revision) });
    }
  }
  // Writes the entry of another host.
  void Write(const ListedHost& aHost)
  {
    Change({ aHost.host, At(++revision), ListedHostToJson(aHost), {} }, false);
  }
  std::optional<ListedHost> Find(const std::string& aHost) const
  {
    const auto found = objects.find(aHost);
    return found == objects.end()
             ? std::nullopt
             : ListedHostFromJson(aHost, found->second.content);
  }

  std::map<std::string, CatalogObject> objects;
  std::vector<ChangesCallback> watches;
  std::uint64_t revision = 1;
  bool isUnavailable = false;
  int writes = 0;

private:
  CatalogFailure Failure() const
  {
    return isUnavailable ? CatalogFailure{ CatalogError::Unavailable, "away" }
                         : CatalogFailure{};
  }
};

const ListedHost kSelf{ "self", "region", "domain", "127.0.0.1", 1, 2, false };
const ListedHost kOther{
  "other", "region", "domain", "127.0.0.1", 3, 4, false
};

struct FollowerFixture
{
  FakeCatalog list;
  SystemClock clock;
  SeededRandom random{ 1 };
  std::vector<ListedHost> seen;
  int listUpdates = 0;
  HostListFollower follower{ list,
                             kSelf,
                             clock,
                             random,
                             [this](const std::vector<ListedHost>& aHosts) {
                               seen = aHosts;
                               listUpdates += 1;
                             } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HostListEntry, FollowerFixture)

// Guards against hosts that start at the same time and do not find each other.
BOOST_AUTO_TEST_CASE(IsWrittenAtStartAndOtherHostsAreFound)
{
  follower.Start();
  BOOST_TEST((list.Find("self") == kSelf));
  BOOST_TEST(seen.size() == 1U);
  list.Write(kOther);
  BOOST_TEST(WaitUntil([&] { return seen.size() == 2U; }, 2s));
  BOOST_TEST((seen.front() == kOther));
  BOOST_TEST(list.writes == 1);
}

// Guards against a host that no other host finds because the store was
// unavailable when it started, and against an outage that is treated as an
// empty list.
BOOST_AUTO_TEST_CASE(IsWrittenAgainAfterAFailure)
{
  list.isUnavailable = true;
  list.Write(kOther);
  follower.Start();
  BOOST_TEST(listUpdates == 0);
  list.isUnavailable = false;
  BOOST_TEST(WaitUntil([&] { return list.Find("self").has_value(); }, 2s));
  BOOST_TEST(WaitUntil([&] { return seen.size() == 2U; }, 2s));
}

// Guards against a host that considers itself leaving because its earlier
// process was leaving.
BOOST_AUTO_TEST_CASE(OfAnEarlierProcessIsReplaced)
{
  ListedHost earlier = kSelf;
  earlier.isLeaving = true;
  list.Write(earlier);
  list.isUnavailable = true;
  follower.Start();
  list.isUnavailable = false;
  BOOST_TEST(WaitUntil([&] { return listUpdates > 0; }, 2s));
  BOOST_TEST((seen.front() == kSelf));
  BOOST_TEST(WaitUntil([&] { return list.Find("self") == kSelf; }, 2s));
}

// Guards against a live host that stays out of the list after another host
// considered it dead and removed its entry.
BOOST_AUTO_TEST_CASE(IsWrittenAgainAfterItsRemoval)
{
  follower.Start();
  BOOST_REQUIRE(WaitUntil([&] { return !list.watches.empty(); }, 2s));
  list.Change({ "self", At(++list.revision), {}, {} }, true);
  BOOST_TEST(WaitUntil([&] { return list.Find("self").has_value(); }, 2s));
  BOOST_TEST(seen.size() == 1U);
}

// Guards against a host that stays out of the list because the catalog came
// back from a copy that lacks its entry.
BOOST_AUTO_TEST_CASE(IsWrittenAgainAfterARestoreOfTheCatalog)
{
  BOOST_TEST(list.OnPeerGeneration(1));
  follower.Start();
  BOOST_REQUIRE(WaitUntil([&] { return !list.watches.empty(); }, 2s));
  list.objects.clear();
  BOOST_TEST(list.OnPeerGeneration(2));
  BOOST_TEST(WaitUntil([&] { return list.Find("self").has_value(); }, 2s));
}

// Guards against one malformed entry that hides all other hosts.
BOOST_AUTO_TEST_CASE(OfAnotherHostIsSkippedWhenItIsMalformed)
{
  list.Change({ "damaged", At(++list.revision), { { "region", 7 } }, {} },
              false);
  list.Write(kOther);
  follower.Start();
  BOOST_TEST(seen.size() == 2U);
}

// Guards against an entry that remains after a planned stop, and against a stop
// that waits for a store that is unavailable.
BOOST_AUTO_TEST_CASE(IsMarkedThenRemovedAtAPlannedStop)
{
  follower.Start();
  follower.StartLeaving();
  BOOST_REQUIRE(list.Find("self").has_value());
  BOOST_TEST(list.Find("self")->isLeaving);
  bool isDone = false;
  follower.Unregister([&] { isDone = true; });
  BOOST_TEST(isDone);
  BOOST_TEST(!list.Find("self").has_value());
  const int writes = list.writes;
  RunFor(1'300ms);
  BOOST_TEST(list.writes == writes);
  isDone = false;
  list.isUnavailable = true;
  follower.Unregister([&] { isDone = true; });
  BOOST_TEST(isDone);
}

BOOST_AUTO_TEST_SUITE_END()
