#include "base/SeededRandom.h"
#include "daemon/HostListFollower.h"
#include "http/tests/support/EventLoop.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

// Answers at once, from what was written.
class FakeHostList final : public HostList
{
public:
  void Fetch(Callback aCallback) override
  {
    fetches += 1;
    if (isAway) {
      aCallback({ {}, StoreError::Unavailable, "away" });
      return;
    }
    std::vector<ListedHost> listed;
    for (const auto& [name, host] : hosts) {
      listed.push_back(host);
    }
    aCallback({ listed, StoreError::None, {} });
  }
  void Write(const ListedHost& aHost, WriteCallback aCallback) override
  {
    writes += 1;
    if (isAway) {
      aCallback("away");
      return;
    }
    hosts[aHost.host] = aHost;
    aCallback(std::nullopt);
  }
  void Remove(std::string_view aHost, WriteCallback aCallback) override
  {
    hosts.erase(std::string(aHost));
    aCallback(isAway ? std::optional<std::string>("away") : std::nullopt);
  }

  std::map<std::string, ListedHost> hosts;
  bool isAway = false;
  int fetches = 0;
  int writes = 0;
};

const ListedHost kSelf{ "self", "region", "domain", "127.0.0.1", 1, 2, false };
const ListedHost kOther{
  "other", "region", "domain", "127.0.0.1", 3, 4, false
};

struct FollowerFixture
{
  FakeHostList list;
  SeededRandom random{ 1 };
  std::vector<ListedHost> seen;
  int lists = 0;
  HostListFollower follower{ list,
                             kSelf,
                             random,
                             [this](const std::vector<ListedHost>& aHosts) {
                               seen = aHosts;
                               lists += 1;
                             } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheEntryOfAHost, FollowerFixture)

// Guards against hosts that start together and each believe to be alone until
// the next regular read.
BOOST_AUTO_TEST_CASE(IsWrittenAtTheStartAndTheListReadAgainSoon)
{
  follower.Start();
  BOOST_TEST((list.hosts.at("self") == kSelf));
  BOOST_TEST(seen.size() == 1U);
  list.hosts["other"] = kOther;
  BOOST_TEST(WaitUntil([&] { return seen.size() == 2U; }, 2s));
}

// Guards against a host that nobody finds because the store was away when it
// started.
BOOST_AUTO_TEST_CASE(IsWrittenAgainAfterAFailure)
{
  list.isAway = true;
  follower.Start();
  BOOST_TEST(lists == 0);
  list.isAway = false;
  BOOST_TEST(WaitUntil([&] { return list.hosts.contains("self"); }, 2s));
}

// Guards against a host that takes itself for leaving because its earlier
// process was.
BOOST_AUTO_TEST_CASE(OfAnEarlierProcessIsReplaced)
{
  list.isAway = true;
  ListedHost earlier = kSelf;
  earlier.isLeaving = true;
  list.hosts["self"] = earlier;
  follower.Start();
  list.isAway = false;
  BOOST_TEST(WaitUntil([&] { return lists > 0; }, 2s));
  BOOST_TEST((seen.front() == kSelf));
  BOOST_TEST((list.hosts.at("self") == kSelf));
}

// Guards against a live host that stays out of the list after another host
// removed it for dead.
BOOST_AUTO_TEST_CASE(IsWrittenAgainWhenItIsGone)
{
  follower.Start();
  list.hosts.clear();
  BOOST_TEST(WaitUntil([&] { return list.hosts.contains("self"); }, 2s));
  BOOST_TEST(seen.size() == 1U);
}

// Guards against an entry that stays after a planned stop, and against a stop
// that waits for a store that is away.
BOOST_AUTO_TEST_CASE(IsMarkedThenRemovedAtAPlannedStop)
{
  follower.Start();
  follower.StartLeaving();
  BOOST_TEST(list.hosts.at("self").isLeaving);
  bool isDone = false;
  list.isAway = true;
  follower.Unregister([&] { isDone = true; });
  BOOST_TEST(isDone);
  BOOST_TEST(list.hosts.empty());
  const int writes = list.writes;
  list.isAway = false;
  RunFor(1'300ms);
  BOOST_TEST(list.writes == writes);
}

BOOST_AUTO_TEST_SUITE_END()
