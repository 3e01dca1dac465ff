#include "catalog/DeadHostEntry.h"
#include "daemon/DeadHostSweep.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> kHosts = { "a", "b", "c" };

std::vector<ListedHost>
ListedHosts()
{
  std::vector<ListedHost> hosts;
  hosts.reserve(kHosts.size());
  for (const std::string& host : kHosts) {
    hosts.push_back({ host, "region", "domain", "127.0.0.1", 1, 2, false });
  }
  return hosts;
}

// Returns the membership view of host aSelf, with host c in aState.
std::shared_ptr<const MembershipView>
ViewOf(std::string_view aSelf, HostState aState, bool aIsIsolated = false)
{
  std::vector<Member> members;
  for (const std::string& host : kHosts) {
    Member member;
    member.host = host;
    member.region = "region";
    member.domain = "domain";
    member.incarnation = 1;
    member.state = host == "c" ? aState : HostState::Live;
    members.push_back(member);
  }
  return MembershipView::Create(aSelf, std::move(members), aIsIsolated);
}

// Returns how many of the hosts a and b remove the entry of c after aTime.
int
CountRemovals(HostState aState, Duration aTime, bool aIsIsolated = false)
{
  int removals = 0;
  for (const std::string_view self : { "a", "b" }) {
    const auto view = ViewOf(self, aState, aIsIsolated);
    DeadHostSweep sweep;
    BOOST_TEST(sweep.TakeDeadHosts(ListedHosts(), *view, Instant{}).empty());
    const auto expired =
      sweep.TakeDeadHosts(ListedHosts(), *view, Instant{} + aTime);
    removals += static_cast<int>(std::ranges::count(expired, "c"));
    BOOST_TEST(expired.size() <= 1U);
  }
  return removals;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DeadHostEntries)

// Guards against a list that grows with every host that stops without
// unregistering, and against writes by every host of the fleet when one stops.
BOOST_AUTO_TEST_CASE(AreRemovedByOneHost)
{
  BOOST_TEST(CountRemovals(HostState::Unreachable, kDeadHostRemovalDelay) == 1);
}

// Guards against the removal of hosts that are restarting, leaving or live.
BOOST_AUTO_TEST_CASE(RemainWhileTheHostMayReturn)
{
  BOOST_TEST(
    CountRemovals(HostState::Unreachable, kDeadHostRemovalDelay - 1s) == 0);
  BOOST_TEST(CountRemovals(HostState::Live, kDeadHostRemovalDelay) == 0);
  BOOST_TEST(CountRemovals(HostState::Leaving, kDeadHostRemovalDelay) == 0);
}

// Guards against an isolated host that removes the entries of all others.
BOOST_AUTO_TEST_CASE(RemainWhileTheObserverIsIsolated)
{
  BOOST_TEST(
    CountRemovals(HostState::Unreachable, kDeadHostRemovalDelay, true) == 0);
}

// Guards against a live host, unreachable in a long network partition, whose
// entry is written and removed at every read of the list.
BOOST_AUTO_TEST_CASE(AreReportedAgainOnlyAfterTheSameTime)
{
  int removals = 0;
  for (const std::string_view self : { "a", "b" }) {
    const auto view = ViewOf(self, HostState::Unreachable);
    DeadHostSweep sweep;
    for (auto age = 0s; age <= 2 * kDeadHostRemovalDelay; age += 5s) {
      removals += static_cast<int>(
        sweep.TakeDeadHosts(ListedHosts(), *view, Instant{} + age).size());
    }
  }
  BOOST_TEST(removals == 1);
}

BOOST_AUTO_TEST_SUITE_END()
