#include "base/SeededRandom.h"
#include "base/SystemClock.h"
#include "catalog/CatalogFollower.h"
#include "catalog/tests/support/CatalogStub.h"
#include "catalog/tests/support/Versions.h"
#include "http/tests/support/EventLoop.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

CatalogObject
Object(std::string aName, std::uint64_t aRevision)
{
  CatalogObject object;
  object.name = std::move(aName);
  object.version = At(aRevision);
  return object;
}

CatalogPage
Page(std::vector<CatalogObject> aObjects, std::uint64_t aRevision)
{
  CatalogPage page;
  page.objects = std::move(aObjects);
  page.version = At(aRevision);
  return page;
}

CatalogPage
StalePage(std::vector<CatalogObject> aObjects, std::uint64_t aRevision)
{
  CatalogPage page = Page(std::move(aObjects), aRevision);
  page.mayBeStale = true;
  return page;
}

CatalogChanges
Changes(std::vector<CatalogEvent> aEvents, std::uint64_t aRevision)
{
  CatalogChanges changes;
  changes.events = std::move(aEvents);
  changes.version = At(aRevision);
  return changes;
}

CatalogCopy
Copy(const std::vector<CatalogObject>& aObjects, std::uint64_t aNewestChange)
{
  CatalogCopy copy;
  for (const CatalogObject& object : aObjects) {
    copy.objects.emplace(object.name, object);
  }
  copy.newestChange = At(aNewestChange);
  return copy;
}

// What a peer that has read all changes after its history's begin reports.
CatalogProgress
Progress(std::uint64_t aNewestChange,
         std::uint64_t aRevision,
         std::uint64_t aHistoryBegin = 0)
{
  return { At(aNewestChange), At(aRevision), At(aHistoryBegin) };
}

template<typename Response>
Response
Failure(CatalogError aError)
{
  Response response;
  response.failure = { aError, "simulated by the test" };
  return response;
}

// Returns a response as the catalog sends it after a restore.
CatalogPage
Restored(CatalogPage aPage, std::uint64_t aGeneration = 1)
{
  aPage.version.generation = aGeneration;
  for (CatalogObject& object : aPage.objects) {
    object.version.generation = aGeneration;
  }
  return aPage;
}

CatalogChanges
Restored(CatalogChanges aChanges)
{
  aChanges.version.generation = 1;
  for (CatalogEvent& event : aChanges.events) {
    event.object.version.generation = 1;
  }
  return aChanges;
}

// Keeps the calls until the test responds to them.
class FakeCatalog final : public CatalogStub
{
public:
  void List(Collection,
            std::string_view aAfter,
            ListFreshness aFreshness,
            PageCallback aCallback) override
  {
    after = aAfter;
    freshness = aFreshness;
    lists.push_back(std::move(aCallback));
  }
  void Watch(Collection,
             const CatalogVersion& aVersion,
             std::chrono::milliseconds aWait,
             ChangesCallback aCallback) override
  {
    watchedRevision = aVersion.revision;
    watchedGeneration = aVersion.generation;
    wait = aWait;
    watches.push_back(std::move(aCallback));
  }

  void RespondToList(CatalogPage aPage)
  {
    BOOST_TEST_REQUIRE(WaitUntil([&] { return !lists.empty(); }));
    const PageCallback callback = std::move(lists.front());
    lists.pop_front();
    callback(std::move(aPage));
  }
  void RespondToWatch(CatalogChanges aChanges)
  {
    BOOST_TEST_REQUIRE(WaitUntil([&] { return !watches.empty(); }));
    const ChangesCallback callback = std::move(watches.front());
    watches.pop_front();
    callback(std::move(aChanges));
  }

  std::deque<PageCallback> lists;
  std::deque<ChangesCallback> watches;
  std::string after;
  ListFreshness freshness = ListFreshness::Newest;
  std::uint64_t watchedRevision = 0;
  std::uint64_t watchedGeneration = 0;
  std::chrono::milliseconds wait{ 0 };
};

struct FollowerFixture
{
  explicit FollowerFixture(std::chrono::milliseconds aShortestOutage = 0ms)
    : follower(
        catalog,
        { Collection::BackendServers, "test", 0ms, 200ms, aShortestOutage },
        clock,
        random,
        [this](const CatalogFollower::Objects& aObjects) {
          names.clear();
          for (const auto& [name, object] : aObjects) {
            names += name + " ";
          }
        })
  {
    follower.Start();
  }

  // Leaves the follower with "a" and "b"; it retains the latter, which is
  // missing in the first list after an outage.
  void RemoveAnEntryDuringAnOutage()
  {
    catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 3));
    catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::Unavailable));
    catalog.RespondToWatch(
      Failure<CatalogChanges>(CatalogError::HistoryExpired));
    catalog.RespondToList(Page({ Object("a", 3) }, 6));
    BOOST_TEST(names == "a b ");
  }

  SystemClock clock;
  SeededRandom random{ 1 };
  FakeCatalog catalog;
  std::string names;
  CatalogFollower follower;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FollowingACatalog, FollowerFixture)

BOOST_AUTO_TEST_CASE(ListsAllPagesAndThenWatches)
{
  BOOST_TEST(!follower.IsComplete());
  CatalogPage first = Page({ Object("a", 3), Object("b", 4) }, 10);
  first.hasMore = true;
  catalog.RespondToList(first);
  BOOST_TEST(!follower.IsComplete());
  BOOST_TEST(catalog.after == "b");
  catalog.RespondToList(Page({ Object("c", 5) }, 12));
  BOOST_TEST(follower.IsComplete());
  BOOST_TEST(names == "a b c ");
  // From the first page's revision, so that no change between the pages is
  // lost.
  BOOST_TEST(catalog.watchedRevision == 10U);
  catalog.RespondToWatch(
    Changes({ { Object("d", 13), false }, { Object("a", 14), true } }, 14));
  BOOST_TEST(names == "b c d ");
  BOOST_TEST(WaitUntil([&] { return catalog.watchedRevision == 14; }));
}

// Guards against an older version of an object that replaces a newer one.
BOOST_AUTO_TEST_CASE(IgnoresEventsOlderThanItsCopy)
{
  catalog.RespondToList(Page({ Object("a", 9) }, 9));
  catalog.RespondToWatch(Changes({ { Object("a", 5), true } }, 9));
  BOOST_TEST(names == "a ");
}

BOOST_AUTO_TEST_SUITE(WhileTheCatalogFails)

BOOST_AUTO_TEST_CASE(KeepsItsCopyAndRetries)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::Unavailable));
  BOOST_TEST(!follower.IsReachable());
  BOOST_TEST(names == "a ");
  catalog.RespondToWatch(Changes({ { Object("b", 4), false } }, 4));
  BOOST_TEST(follower.IsReachable());
  BOOST_TEST(names == "a b ");
}

// Guards against a watch that is sent on a broken connection and hides changes
// for its whole wait: the first watch after a failure returns almost at once.
BOOST_AUTO_TEST_CASE(WaitsOnlyOnceTheCatalogHasResponded)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  const std::chrono::milliseconds longest = catalog.wait;
  catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::Unavailable));
  BOOST_REQUIRE(WaitUntil([&] { return !catalog.watches.empty(); }));
  BOOST_TEST(catalog.wait.count() < 100);
  catalog.RespondToWatch(Changes({}, 3));
  BOOST_TEST(follower.IsReachable());
  BOOST_REQUIRE(WaitUntil([&] { return !catalog.watches.empty(); }));
  BOOST_TEST(catalog.wait.count() == longest.count());
}

// Guards against changes that stay hidden for the whole wait of a watch, since
// the response to it was lost while the catalog did not respond.
BOOST_AUTO_TEST_CASE(StartsItsWatchAgainWhenAnotherCallGotNoResponse)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  BOOST_TEST(follower.IsWatching());
  follower.OnCatalogUnresponsive({ CatalogError::Unavailable, "test" });
  BOOST_TEST(!follower.IsReachable());
  BOOST_TEST(!follower.IsWatching());
  BOOST_REQUIRE(WaitUntil([&] { return catalog.watches.size() == 2; }));
  // Late, after the watch was given up.
  catalog.RespondToWatch(Changes({ { Object("x", 9), false } }, 9));
  BOOST_TEST(names == "a ");
  catalog.RespondToWatch(Changes({ { Object("b", 4), false } }, 4));
  BOOST_TEST(follower.IsReachable());
  BOOST_TEST(names == "a b ");
}

// Guards against a host that has to notice lost responses from now on, and
// whose watch goes on waiting as long as before.
BOOST_AUTO_TEST_CASE(StartsItsWatchAgainWhenItMayWaitLess)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  BOOST_TEST(catalog.wait.count() == kLongestWatchWait.count());
  follower.SetWatchWait(3s);
  BOOST_TEST(catalog.watches.size() == 2U);
  BOOST_TEST(catalog.wait.count() < 100);
  // It still counts as served.
  BOOST_TEST(follower.HasResponded());
  // The response to the first watch comes late.
  catalog.RespondToWatch(Changes({ { Object("x", 9), false } }, 9));
  BOOST_TEST(names == "a ");
  catalog.RespondToWatch(Changes({ { Object("b", 4), false } }, 4));
  BOOST_TEST(names == "a b ");
  BOOST_REQUIRE(WaitUntil([&] { return !catalog.watches.empty(); }));
  BOOST_TEST((catalog.wait == 3s));
  follower.SetWatchWait(3s);
  follower.SetWatchWait(kLongestWatchWait);
  BOOST_TEST(catalog.watches.size() == 1U);
  catalog.RespondToWatch(Changes({}, 4));
  BOOST_REQUIRE(WaitUntil([&] { return !catalog.watches.empty(); }));
  BOOST_TEST(catalog.wait.count() == kLongestWatchWait.count());
}

// Guards against a failure that is counted by hosts that wait for no response.
BOOST_AUTO_TEST_CASE(IgnoresAnUnresponsiveCatalogWhileItFollowsAPeer)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  follower.SetFollowsPeer(true);
  follower.OnCatalogUnresponsive({ CatalogError::Unavailable, "test" });
  BOOST_TEST(follower.IsReachable());
}

BOOST_AUTO_TEST_CASE(ListsAgainWhenTheHistoryHasExpired)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::HistoryExpired));
  catalog.RespondToList(Failure<CatalogPage>(CatalogError::Unavailable));
  catalog.RespondToList(Page({ Object("b", 8) }, 9));
  BOOST_TEST(names.find("b ") != std::string::npos);
  BOOST_TEST(catalog.watchedRevision == 9U);
}

// Guards against servers that are removed although only the catalog was
// unavailable: their entries expire during the outage and are written again.
BOOST_AUTO_TEST_CASE(KeepsExpiredEntriesForTheRetentionTime)
{
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 3));
  catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::Unavailable));
  catalog.RespondToWatch(
    Changes({ { Object("a", 5), true }, { Object("b", 6), true } }, 6));
  BOOST_TEST(names == "a b ");
  catalog.RespondToWatch(Changes({ { Object("a", 7), false } }, 7));
  BOOST_TEST(WaitUntil([&] { return names == "a "; }));
}

// Guards against a server that was deleted and is used again after the next
// list, since its entry had been retained after an outage.
BOOST_AUTO_TEST_CASE(RemovesAnEntryOnceItsDeletionIsRead)
{
  RemoveAnEntryDuringAnOutage();
  catalog.RespondToWatch(Changes({ { Object("b", 7), true } }, 7));
  BOOST_TEST(names == "a ");
  follower.CatchUp(At(9));
  catalog.RespondToList(Page({ Object("a", 3), Object("c", 9) }, 9));
  BOOST_TEST(names == "a c ");
}

// Guards against an entry whose retention time starts again with each list in
// which it is missing.
BOOST_AUTO_TEST_CASE(KeepsAnEntryForOneRetentionTime)
{
  RemoveAnEntryDuringAnOutage();
  RunFor(120ms);
  follower.ReadAgain("test");
  catalog.RespondToList(Page({ Object("a", 3) }, 7));
  BOOST_TEST(names == "a b ");
  BOOST_TEST(WaitUntil([&] { return names == "a "; }, 150ms));
}

// Guards against requests to a server that leaves late in a recovery and is
// kept for a whole retention time of its own: the catalog was back by then, and
// its removal has to take effect.
BOOST_AUTO_TEST_CASE(EndsTheRetentionWithTheRecovery)
{
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 3));
  catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::Unavailable));
  catalog.RespondToWatch(Changes({}, 3));
  RunFor(120ms);
  catalog.RespondToWatch(Changes({ { Object("b", 5), true } }, 5));
  BOOST_TEST(names == "a b ");
  BOOST_TEST(WaitUntil([&] { return names == "a "; }, 150ms));
}

// Guards against a host that reports a change to its peers with each list in
// which an entry that it keeps is missing.
BOOST_AUTO_TEST_CASE(CountsARemovalOnce)
{
  RemoveAnEntryDuringAnOutage();
  const CatalogVersion newest = follower.NewestChange();
  follower.ReadAgain("test");
  catalog.RespondToList(Page({ Object("a", 3) }, 9));
  BOOST_TEST(follower.NewestChange() == newest);
}

// Guards against a kept server that is removed early because its removal is
// read twice.
BOOST_AUTO_TEST_CASE(KeepsAnEntryWhoseRemovalIsReadTwice)
{
  RemoveAnEntryDuringAnOutage();
  catalog.RespondToWatch(Changes({ { Object("b", 5), true } }, 6));
  BOOST_TEST(names == "a b ");
}

// Guards against a server that leaves and is retained although there was no
// outage.
BOOST_AUTO_TEST_CASE(RemovesEntriesAtOnceWithoutAnOutage)
{
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 3));
  catalog.RespondToWatch(Changes({ { Object("a", 5), true } }, 5));
  BOOST_TEST(names == "b ");
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

// Only outages of at least 100 ms count.
struct ShortestOutageFixture : FollowerFixture
{
  ShortestOutageFixture()
    : FollowerFixture(100ms)
  {
    catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 3));
    catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::Unavailable));
  }

  void RegainAndReadTheRemovalOfB()
  {
    catalog.RespondToWatch(Changes({ { Object("b", 5), true } }, 5));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WhichOutagesCount, ShortestOutageFixture)

BOOST_AUTO_TEST_CASE(ThoseOfTheCatalog)
{
  RunFor(150ms);
  RegainAndReadTheRemovalOfB();
  BOOST_TEST(names == "a b ");
}

// Guards against requests to a server that leaves just after this host was cut
// off from the catalog for a short time.
BOOST_AUTO_TEST_CASE(NotThoseInWhichNothingExpires)
{
  RegainAndReadTheRemovalOfB();
  BOOST_TEST(names == "a ");
}

// Guards against requests to a server that leaves just after this host was cut
// off from the catalog alone.
BOOST_AUTO_TEST_CASE(NotThoseInWhichAPeerReachedTheCatalog)
{
  for (int i = 0; i < 5; ++i) {
    RunFor(40ms);
    follower.OnCatalogResponds();
  }
  RegainAndReadTheRemovalOfB();
  BOOST_TEST(names == "a ");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAPeerIsAhead)

// Guards against a host that starts during an outage of the catalog and has no
// data although its peers do.
BOOST_AUTO_TEST_CASE(UsesThePeersCopyUntilTheCatalogResponds)
{
  const CatalogCopy copy = Copy({ Object("a", 3) }, 3);
  follower.Import(copy);
  BOOST_TEST(follower.IsComplete());
  BOOST_TEST(names == "a ");
  catalog.RespondToList(Failure<CatalogPage>(CatalogError::Unavailable));
  BOOST_TEST(names == "a ");
  catalog.RespondToList(Page({ Object("b", 8) }, 9));
  BOOST_TEST(names.ends_with("b "));
  follower.Import(copy);
  BOOST_TEST(WaitUntil([&] { return names == "b "; }));
}

// Guards against a host that stays behind its peers for as long as the catalog
// refuses its calls.
BOOST_AUTO_TEST_CASE(ImportsNewerCopiesWhileTheCatalogFails)
{
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 4) }, 4));
  catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::Unavailable));
  CatalogCopy copy = Copy({ Object("a", 7) }, 8);
  BOOST_TEST(!follower.HasRead(At(8)));
  follower.Import(copy);
  BOOST_TEST(names == "a ");
  BOOST_TEST(follower.HasRead(At(8)));
  // The copy of a peer that is further behind.
  copy.objects.emplace("c", Object("c", 6));
  copy.newestChange = At(7);
  follower.Import(copy);
  BOOST_TEST(names == "a ");
  // The changes from the catalog follow; those that the peer had already read
  // have no effect.
  catalog.RespondToWatch(Changes({ { Object("a", 7), false },
                                   { Object("b", 8), true },
                                   { Object("d", 9), false } },
                                 9));
  BOOST_TEST(names == "a d ");
}

// Guards against a server that leaves and is retained only because a copy was
// imported from a faster peer, although the catalog was never unavailable.
BOOST_AUTO_TEST_CASE(DoesNotTreatAPeersLeadAsAnOutage)
{
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 4) }, 4));
  follower.Import(Copy({ Object("a", 3), Object("b", 8) }, 8));
  follower.CatchUp(At(10));
  catalog.RespondToList(Page({ Object("a", 3) }, 10));
  BOOST_TEST(names == "a ");
}

// Guards against a removed entry that a peer keeps after an outage and that
// this host, which imported the peer's copy, keeps for longer or for ever.
BOOST_AUTO_TEST_CASE(ImportsNoEntryThatThePeerOnlyKeeps)
{
  FollowerFixture peer;
  peer.RemoveAnEntryDuringAnOutage();
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 3));
  follower.Import(peer.follower.Copy());
  BOOST_TEST(names == "a ");
  BOOST_TEST(peer.names == "a b ");
}

// Guards against a change that is never read: it was in the first page of a
// list whose second page failed, and peers that report it are not asked for it.
BOOST_AUTO_TEST_CASE(HasNotReadWhatAnUnfinishedListContained)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  follower.CatchUp(At(8));
  CatalogPage first = Page({ Object("b", 8) }, 8);
  first.hasMore = true;
  catalog.RespondToList(first);
  catalog.RespondToList(Failure<CatalogPage>(CatalogError::Unavailable));
  BOOST_TEST(!follower.HasRead(At(8)));
  follower.OnPeerProgress(Progress(8, 20));
  BOOST_TEST(follower.Version() == At(3));
}

// Guards against a change that is never read: a list's second page is newer
// than its first one, which lacks a removal that came in between.
BOOST_AUTO_TEST_CASE(HasReadNoChangeThatIsNewerThanAPageOfItsList)
{
  CatalogPage first = Page({ Object("a", 3), Object("b", 3) }, 10);
  first.hasMore = true;
  catalog.RespondToList(first);
  catalog.RespondToList(Page({ Object("c", 12) }, 12));
  BOOST_TEST(!follower.HasRead(At(12)));
  follower.OnPeerProgress(Progress(12, 20));
  BOOST_TEST(follower.Version() == At(10));
}

// Guards against a server that left and is used again by a host that starts:
// the copy of its peer has no newer change, but lacks the server.
BOOST_AUTO_TEST_CASE(ImportsACopyThatDiffersOnlyByARemoval)
{
  FollowerFixture peer;
  peer.catalog.RespondToList(Page({ Object("a", 3) }, 6));
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 4));
  follower.Import(peer.follower.Copy());
  BOOST_TEST(names == "a ");
  BOOST_TEST(follower.Version() == At(6));
}

// Guards against a peer's copy that gets no revision while the peer lists the
// collection again, although the copy holds all changes up to an earlier one.
BOOST_AUTO_TEST_CASE(ImportsTheCopyOfAPeerThatListsAgain)
{
  FollowerFixture peer;
  peer.catalog.RespondToList(Page({ Object("a", 3) }, 6));
  peer.follower.ReadAgain("test");
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 4));
  follower.Import(peer.follower.Copy());
  BOOST_TEST(names == "a ");
  BOOST_TEST(follower.Version() == At(6));
}

// Guards against followers that skip a removal which the imported copy
// contains, since the host serves its history from before it.
BOOST_AUTO_TEST_CASE(KnowsNoChangeBeforeAnImportedCopy)
{
  FollowerFixture peer;
  peer.catalog.RespondToList(Page({ Object("a", 3) }, 6));
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 4));
  follower.Import(peer.follower.Copy());
  BOOST_TEST((follower.ChangesAfter(At(4)).failure.error ==
              CatalogError::HistoryExpired));
  BOOST_TEST(
    (follower.ChangesAfter(At(6)).failure.error == CatalogError::None));
}

// Guards against waiting for a watch on an undetected broken connection.
BOOST_AUTO_TEST_CASE(ListsAgainWithoutWaitingForItsWatch)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  follower.CatchUp(At(8));
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 8) }, 8));
  BOOST_TEST(names == "a b ");
  BOOST_TEST(follower.NewestChange() == At(8));
  // The response to the old watch is ignored.
  catalog.RespondToWatch(Changes({ { Object("b", 9), true } }, 9));
  BOOST_TEST(names == "a b ");
}

// Guards against a list call for every message of a peer.
BOOST_AUTO_TEST_CASE(ListsOnceForAChange)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 5));
  follower.CatchUp(At(3));
  // Deleted objects are not listed, but the list shows that they are missing.
  follower.CatchUp(At(5));
  BOOST_TEST(catalog.lists.empty());
  follower.CatchUp(At(8));
  follower.CatchUp(At(8));
  BOOST_TEST(catalog.lists.size() == 1U);
}

// Guards against a host that stays behind because the list that a peer's newer
// revision caused got no response, and its watch waits on a broken connection
// again.
BOOST_AUTO_TEST_CASE(RetriesAFailedList)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  follower.CatchUp(At(8));
  catalog.RespondToList(Failure<CatalogPage>(CatalogError::Unavailable));
  BOOST_TEST(WaitUntil([&] {
    follower.CatchUp(At(8));
    return !catalog.lists.empty();
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FollowingAPeer)

// Guards against a watch from every host of a fleet.
BOOST_AUTO_TEST_CASE(StartsNoWatch)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  follower.SetFollowsPeer(true);
  catalog.RespondToWatch(Changes({ { Object("b", 4) } }, 4));
  RunFor(50ms);
  BOOST_TEST(catalog.watches.empty());
  BOOST_TEST(names == "a b ");
  follower.ApplyPeerChanges(
    Changes({ { Object("c", 5) }, { Object("a", 6), true } }, 8));
  BOOST_TEST(names == "b c ");
  BOOST_TEST(follower.HasRead(At(6)));
  BOOST_TEST(follower.Version() == At(8));
}

// Guards against a host that misses changes after its peer is lost.
BOOST_AUTO_TEST_CASE(WatchesFromThePeersRevision)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  follower.SetFollowsPeer(true);
  follower.ApplyPeerChanges(Changes({ { Object("b", 5) } }, 6));
  follower.SetFollowsPeer(false);
  BOOST_TEST(catalog.watchedRevision == 6U);
  // The response to the earlier watch is ignored.
  catalog.RespondToWatch(Changes({ { Object("old", 4) } }, 4));
  catalog.RespondToWatch(Changes({ { Object("c", 7) } }, 7));
  BOOST_TEST(names == "a b c ");
}

// Guards against a host that tells others that it reaches the catalog, which
// leaves the watch that it has just begun without a response.
BOOST_AUTO_TEST_CASE(HasNoResponseBeforeThatToItsOwnWatch)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  BOOST_TEST(follower.HasResponded());
  follower.SetFollowsPeer(true);
  follower.SetFollowsPeer(false);
  BOOST_TEST(follower.IsReachable());
  BOOST_TEST(!follower.HasResponded());
  BOOST_TEST(catalog.wait.count() < 100);
  catalog.watches.pop_front();
  catalog.RespondToWatch(Changes({}, 3));
  BOOST_TEST(follower.HasResponded());
  BOOST_REQUIRE(WaitUntil([&] { return !catalog.watches.empty(); }));
  BOOST_TEST(catalog.wait.count() == kLongestWatchWait.count());
}

// Guards against a server that left and is used again for good: this host's own
// watch returns an older state after a peer's changes have removed the server.
BOOST_AUTO_TEST_CASE(IgnoresAnOlderResponseToItsOwnWatch)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  follower.SetFollowsPeer(true);
  follower.ApplyPeerChanges(
    Changes({ { Object("b", 5) }, { Object("b", 6), true } }, 8));
  catalog.RespondToWatch(Changes({ { Object("b", 5) } }, 5));
  BOOST_TEST(names == "a ");
  BOOST_TEST(follower.Version() == At(8));
}

// Guards against a watch that is no longer needed, fails and makes the host
// treat deleted entries as expired ones.
BOOST_AUTO_TEST_CASE(IgnoresTheFailureOfItsOwnWatch)
{
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 3));
  follower.SetFollowsPeer(true);
  catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::Unavailable));
  BOOST_TEST(follower.IsReachable());
  follower.ApplyPeerChanges(Changes({ { Object("a", 5), true } }, 5));
  BOOST_TEST(names == "b ");
}

// Guards against requests to a leaving server: a peer that was cut off from the
// catalog alone reads its removal just afterwards, and this host, which lost
// nothing, keeps the server for as long as the peer.
BOOST_AUTO_TEST_CASE(RemovesAtOnceWhatThePeerKeepsAfterItsOwnOutage)
{
  FollowerFixture peer;
  peer.catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 3));
  peer.catalog.RespondToWatch(
    Failure<CatalogChanges>(CatalogError::Unavailable));
  peer.catalog.RespondToWatch(Changes({ { Object("b", 5), true } }, 5));
  BOOST_TEST(peer.names == "a b ");
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 3));
  follower.SetFollowsPeer(true);
  follower.ApplyPeerChanges(peer.follower.ChangesAfter(At(3)));
  BOOST_TEST(names == "a ");
}

// Guards against servers that are removed after an outage of the catalog
// although their entries may still be written again, since the removal was read
// by a peer.
BOOST_AUTO_TEST_CASE(KeepsEntriesAfterAnOutageThatItHasSeen)
{
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 3));
  catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::Unavailable));
  follower.SetFollowsPeer(true);
  follower.ApplyPeerChanges(
    Changes({ { Object("a", 5), true }, { Object("b", 6), true } }, 6));
  BOOST_TEST(names == "a b ");
  follower.ApplyPeerChanges(Changes({ { Object("a", 7) } }, 7));
  BOOST_TEST(WaitUntil([&] { return names == "a "; }));
}

// Guards against a list that was read before the peer's change and restores an
// older state.
BOOST_AUTO_TEST_CASE(IgnoresAnOlderList)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  follower.SetFollowsPeer(true);
  follower.CatchUp(At(9));
  follower.ApplyPeerChanges(Changes({ { Object("b", 9) } }, 9));
  catalog.RespondToList(Page({ Object("a", 3) }, 8));
  BOOST_TEST(names == "a b ");
  BOOST_TEST(follower.Version() == At(9));
}

// Guards against a list call from each host for the first change after a time
// without changes.
BOOST_AUTO_TEST_CASE(AdvancesToAPeersRevisionWithoutNewChanges)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 3));
  follower.OnPeerProgress(Progress(3, 20));
  BOOST_TEST(follower.Version() == At(20));
  follower.OnPeerProgress(Progress(25, 30));
  BOOST_TEST(follower.Version() == At(20));
}

// Guards against requests to a server that left while another host of the
// failure domain started: that host's list shows neither the server nor its
// removal, and reports an older change as the newest one.
BOOST_AUTO_TEST_CASE(DoesNotSkipARemovalThatThePeersListHides)
{
  FollowerFixture peer;
  peer.catalog.RespondToList(Page({ Object("a", 3) }, 6));
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 4));
  follower.SetFollowsPeer(true);
  BOOST_TEST(!follower.IsCoveredBy(peer.follower.Progress()));
  follower.OnPeerProgress(peer.follower.Progress());
  BOOST_TEST(follower.Version() == At(4));
  // Another peer has read the removal.
  follower.ApplyPeerChanges(Changes({ { Object("b", 5), true } }, 7));
  BOOST_TEST(names == "a ");
  BOOST_TEST(follower.IsCoveredBy(peer.follower.Progress()));
}

BOOST_AUTO_TEST_SUITE(WhenFollowedByPeers)

BOOST_AUTO_TEST_CASE(ReturnsTheChangesThatItHasRead)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 4));
  catalog.RespondToWatch(
    Changes({ { Object("b", 5) }, { Object("a", 6), true } }, 7));
  const CatalogChanges all = follower.ChangesAfter(At(4));
  BOOST_TEST(all.events.size() == 2U);
  BOOST_TEST(all.events.back().isDeleted);
  BOOST_TEST(all.version == At(7));
  BOOST_TEST(follower.ChangesAfter(At(5)).events.size() == 1U);
  // Changes before the first list are not available.
  BOOST_TEST((follower.ChangesAfter(At(3)).failure.error ==
              CatalogError::HistoryExpired));
}

// Guards against followers that keep a server whose deletion their peer found
// only by a list, since the history had expired.
BOOST_AUTO_TEST_CASE(ReturnsChangesFoundByAList)
{
  catalog.RespondToList(Page({ Object("a", 3), Object("b", 3) }, 4));
  catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::HistoryExpired));
  catalog.RespondToList(Page({ Object("b", 3), Object("c", 8) }, 9));
  BOOST_TEST(follower.NewestChange() == At(9));
  const CatalogChanges changes = follower.ChangesAfter(At(4));
  BOOST_TEST_REQUIRE(changes.events.size() == 2U);
  BOOST_TEST(changes.events[0].object.name == "a");
  BOOST_TEST(changes.events[0].isDeleted);
  BOOST_TEST(changes.events[1].object.name == "c");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(StartingWithAStaleList, FollowerFixture)

// Guards against a host that serves with what the catalog held seconds ago.
BOOST_AUTO_TEST_CASE(IsCompleteOnceTheChangesSinceThenAreRead)
{
  BOOST_TEST((catalog.freshness == ListFreshness::MayBeStale));
  catalog.RespondToList(StalePage({ Object("a", 3), Object("b", 4) }, 4));
  BOOST_TEST(!follower.IsComplete());
  BOOST_TEST(names.empty());
  BOOST_TEST_REQUIRE(WaitUntil([&] { return !catalog.watches.empty(); }));
  BOOST_TEST(catalog.watchedRevision == 4U);
  BOOST_TEST((catalog.wait < 100ms));
  catalog.RespondToWatch(
    Changes({ { Object("b", 6), true }, { Object("c", 7), false } }, 7));
  BOOST_TEST(follower.IsComplete());
  BOOST_TEST(names == "a c ");
  BOOST_TEST_REQUIRE(WaitUntil([&] { return !catalog.watches.empty(); }));
  BOOST_TEST((catalog.wait > 1s));
}

// Guards against a host that never becomes ready when nothing has changed.
BOOST_AUTO_TEST_CASE(IsCompleteWhenThereAreNoChanges)
{
  catalog.RespondToList(StalePage({ Object("a", 3) }, 4));
  catalog.RespondToWatch(Changes({}, 9));
  BOOST_TEST(follower.IsComplete());
  BOOST_TEST(names == "a ");
  BOOST_TEST(follower.Version() == At(9));
}

// Guards against changes that are missed between pages, of which a later one
// may be older.
BOOST_AUTO_TEST_CASE(WatchesFromTheOldestPage)
{
  CatalogPage first = StalePage({ Object("a", 3) }, 8);
  first.hasMore = true;
  catalog.RespondToList(first);
  catalog.RespondToList(StalePage({ Object("b", 3) }, 5));
  BOOST_TEST_REQUIRE(WaitUntil([&] { return !catalog.watches.empty(); }));
  BOOST_TEST(catalog.watchedRevision == 5U);
}

// Guards against a host that lists stale data for ever.
BOOST_AUTO_TEST_CASE(ListsTheNewestDataWhenTheHistoryHasExpired)
{
  catalog.RespondToList(StalePage({ Object("a", 3) }, 4));
  catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::HistoryExpired));
  BOOST_TEST_REQUIRE(WaitUntil([&] { return !catalog.lists.empty(); }));
  BOOST_TEST((catalog.freshness == ListFreshness::Newest));
  BOOST_TEST(!follower.IsComplete());
  catalog.RespondToList(Page({ Object("b", 8) }, 9));
  BOOST_TEST(names == "b ");
}

// Guards against a copy that is set back by stale data.
BOOST_AUTO_TEST_CASE(ListsTheNewestDataOnceThereIsACopy)
{
  catalog.RespondToList(StalePage({ Object("a", 3) }, 4));
  catalog.RespondToWatch(Changes({}, 4));
  catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::HistoryExpired));
  BOOST_TEST_REQUIRE(WaitUntil([&] { return !catalog.lists.empty(); }));
  BOOST_TEST((catalog.freshness == ListFreshness::Newest));
}

// Guards against a host that follows a peer and stays incomplete: the changes
// since its list are read from the catalog all the same.
BOOST_AUTO_TEST_CASE(ReadsTheChangesWhileItFollowsAPeer)
{
  follower.SetFollowsPeer(true);
  catalog.RespondToList(StalePage({ Object("a", 3) }, 4));
  catalog.RespondToWatch(Failure<CatalogChanges>(CatalogError::Unavailable));
  catalog.RespondToWatch(Changes({ { Object("b", 6), false } }, 7));
  BOOST_TEST(names == "a b ");
  RunFor(50ms);
  BOOST_TEST(catalog.watches.empty());
}

// Guards against a host that replaces its list by the older copy of a peer and
// takes it for the newer one.
BOOST_AUTO_TEST_CASE(IsNotSetBackByAPeersOlderCopy)
{
  catalog.RespondToList(StalePage({ Object("a", 8) }, 9));
  follower.Import(Copy({ Object("a", 3), Object("b", 3) }, 3));
  BOOST_TEST(follower.IsComplete());
  BOOST_TEST(names == "a ");
  BOOST_TEST(follower.Copy().objects.at("a").version == At(8));
}

// Guards against a host that starts with a server that has left: its stale list
// has the server, the newer copy of its peer does not.
BOOST_AUTO_TEST_CASE(IsReplacedByACopyThatDiffersOnlyByARemoval)
{
  FollowerFixture peer;
  peer.catalog.RespondToList(Page({ Object("a", 3) }, 6));
  catalog.RespondToList(StalePage({ Object("a", 3), Object("b", 3) }, 4));
  follower.Import(peer.follower.Copy());
  BOOST_TEST(names == "a ");
}

// Guards against a list by a host that has a peer's whole copy.
BOOST_AUTO_TEST_CASE(NeedsNoListAfterAnImportWithARevision)
{
  catalog.RespondToList(Failure<CatalogPage>(CatalogError::Unavailable));
  CatalogCopy copy = Copy({ Object("a", 3) }, 3);
  copy.version = At(5);
  follower.Import(copy);
  BOOST_TEST(follower.Version() == At(5));
  BOOST_TEST_REQUIRE(WaitUntil([&] { return !catalog.watches.empty(); }));
  BOOST_TEST(catalog.watchedRevision == 5U);
  BOOST_TEST(catalog.lists.empty());
}

BOOST_AUTO_TEST_SUITE(AfterARestoreOfTheCatalog)

// Guards against a follower that takes the revisions of a restored catalog for
// old ones, and against a late response that sets it back.
BOOST_AUTO_TEST_CASE(ListsAgainAndIgnoresEarlierResponses)
{
  catalog.RespondToList(Page({ Object("a", 3), Object("c", 9) }, 10));
  BOOST_TEST_REQUIRE(WaitUntil([&] { return !catalog.watches.empty(); }));
  follower.OnCatalogRestored(1, 0ms);
  BOOST_TEST_REQUIRE(WaitUntil([&] { return !catalog.lists.empty(); }));
  catalog.RespondToWatch(Changes({ { Object("a", 11), true } }, 11));
  BOOST_TEST(names == "a c ");
  catalog.RespondToList(
    Restored(Page({ Object("a", 3), Object("b", 4), Object("c", 5) }, 6)));
  BOOST_TEST(names == "a b c ");
  BOOST_TEST(follower.Version() == (CatalogVersion{ 1, 6 }));
  // A revision that was assigned before names another change now.
  catalog.RespondToWatch(Restored(Changes({ { Object("d", 9), false } }, 9)));
  BOOST_TEST(names == "a b c d ");
  BOOST_TEST(catalog.watchedGeneration == 1U);
}

// Guards against peers that have not noticed the restore yet.
BOOST_AUTO_TEST_CASE(IgnoresWhatPeersReadBefore)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 10));
  follower.OnCatalogRestored(1, 0ms);
  catalog.RespondToList(Restored(Page({ Object("a", 3) }, 6)));
  follower.ApplyPeerChanges(Changes({ { Object("b", 50), false } }, 60));
  follower.Import(Copy({ Object("c", 70) }, 70));
  follower.OnPeerProgress(Progress(80, 80));
  BOOST_TEST(names == "a ");
  BOOST_TEST(follower.Version() == (CatalogVersion{ 1, 6 }));
}

// Guards against peers that apply the changes of one generation to the state of
// another, and against an empty collection that hides the restore from them.
BOOST_AUTO_TEST_CASE(BeginsANewHistory)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 4));
  catalog.RespondToWatch(Changes({ { Object("a", 5), false } }, 5));
  follower.OnCatalogRestored(1, 0ms);
  catalog.RespondToList(Restored(Page({}, 2)));
  BOOST_TEST((follower.ChangesAfter(At(4)).failure.error ==
              CatalogError::HistoryExpired));
  BOOST_TEST(follower.NewestChange().generation == 1U);
  BOOST_TEST(!follower.HasRead({ 1, 3 }));
}

// Guards against lists by every host after a restore.
BOOST_AUTO_TEST_CASE(NeedsNoListWhenAPeersCopyArrivesBefore)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 10));
  follower.SetFollowsPeer(true);
  follower.OnCatalogRestored(1, 100ms);
  CatalogCopy copy = Copy({ Object("b", 4) }, 4);
  copy.objects.at("b").version = { 1, 4 };
  copy.newestChange = { 1, 4 };
  copy.version = { 1, 6 };
  follower.Import(copy);
  RunFor(150ms);
  BOOST_TEST(catalog.lists.empty());
  BOOST_TEST(follower.Version() == (CatalogVersion{ 1, 6 }));
}

// Guards against a server that lives, is missing from the copy and gets no
// requests until it writes its entry again, and against one that gets them for
// ever.
BOOST_AUTO_TEST_CASE(KeepsMissingObjectsForAsLongAsAfterAnOutage)
{
  catalog.RespondToList(
    Page({ Object("a", 3), Object("b", 9), Object("c", 9) }, 10));
  BOOST_TEST_REQUIRE(WaitUntil([&] { return !catalog.watches.empty(); }));
  catalog.watches.clear();
  follower.OnCatalogRestored(1, 0ms);
  catalog.RespondToList(Restored(Page({ Object("a", 3) }, 6)));
  BOOST_TEST(names == "a b c ");
  BOOST_TEST(follower.Copy().objects.size() == 1U);
  catalog.RespondToWatch(Restored(Changes({ { Object("b", 7), false } }, 7)));
  BOOST_TEST(WaitUntil([&] { return names == "a b "; }, 300ms));
  RunFor(250ms);
  BOOST_TEST(names == "a b ");
}

// Two restores in a row: the list of the first one is of no use.
BOOST_AUTO_TEST_CASE(ListsOnceMoreAfterAFurtherOne)
{
  catalog.RespondToList(Page({ Object("a", 3) }, 10));
  follower.OnCatalogRestored(1, 0ms);
  BOOST_TEST_REQUIRE(WaitUntil([&] { return catalog.lists.size() == 1; }));
  follower.OnCatalogRestored(2, 0ms);
  catalog.RespondToList(Restored(Page({ Object("b", 3) }, 6)));
  BOOST_TEST(names == "a ");
  catalog.RespondToList(Restored(Page({ Object("a", 2) }, 5), 2));
  BOOST_TEST(names == "a ");
  BOOST_TEST(follower.Version() == (CatalogVersion{ 2, 5 }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
