#include "membership/MembershipView.h"
#include "membership/PartnerRing.h"
#include "membership/ReachabilityEvaluator.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace filbertbeam;

namespace {

std::vector<PartnerRing::RingMember>
RingMembersOf(int aHosts, int aRegions, int aDomains)
{
  std::vector<PartnerRing::RingMember> ringMembers;
  for (int i = 0; i < aHosts; ++i) {
    const int domain = i % aDomains;
    ringMembers.push_back({ "host-" + std::to_string(i),
                            "region-" + std::to_string(domain % aRegions),
                            "domain-" + std::to_string(domain) });
  }
  return ringMembers;
}

bool
ArePartners(const PartnerRing& aRing, std::size_t aLeft, std::size_t aRight)
{
  const auto partners = aRing.PartnersOf(aLeft);
  return std::find(partners.begin(), partners.end(), aRight) != partners.end();
}

struct Fleet
{
  int hosts;
  int regions;
  int domains;
};

constexpr Fleet kFleets[] = { { 1, 1, 1 },    { 2, 1, 2 },   { 3, 1, 3 },
                              { 5, 1, 2 },    { 12, 1, 3 },  { 48, 1, 3 },
                              { 192, 1, 3 },  { 192, 1, 1 }, { 768, 6, 15 },
                              { 1300, 6, 15 } };

} // namespace

BOOST_AUTO_TEST_SUITE(Partners)

// Guards against a one-sided partnership, whose link could never work, and
// against a number of partners that grows with the fleet.
BOOST_AUTO_TEST_CASE(AreSymmetricAndAtMostEight)
{
  for (const Fleet& fleet : kFleets) {
    BOOST_TEST_CONTEXT("hosts " << fleet.hosts)
    {
      const auto ringMembers =
        RingMembersOf(fleet.hosts, fleet.regions, fleet.domains);
      const PartnerRing ring(ringMembers);
      for (std::size_t i = 0; i < ringMembers.size(); ++i) {
        BOOST_TEST(ring.PartnersOf(i).size() <= PartnerRing::kMaxPartners);
        BOOST_TEST(!ArePartners(ring, i, i));
        for (const std::uint32_t partner : ring.PartnersOf(i)) {
          BOOST_TEST(ArePartners(ring, partner, i));
        }
        if (fleet.hosts >= 48) {
          BOOST_TEST(ring.PartnersOf(i).size() >= 6U);
        }
      }
    }
  }
}

// Guards against partners that depend on the order in which a host added the
// members.
BOOST_AUTO_TEST_CASE(AreTheSameForEveryOrderOfTheMembers)
{
  auto ringMembers = RingMembersOf(50, 2, 5);
  const auto byName = [&] {
    const PartnerRing ring(ringMembers);
    std::map<std::string, std::set<std::string>> partners;
    for (std::size_t i = 0; i < ringMembers.size(); ++i) {
      for (const std::uint32_t partner : ring.PartnersOf(i)) {
        partners[ringMembers[i].host].insert(ringMembers[partner].host);
      }
    }
    return partners;
  };
  const auto expected = byName();
  std::reverse(ringMembers.begin(), ringMembers.end());
  BOOST_TEST((byName() == expected));
  std::rotate(ringMembers.begin(), ringMembers.begin() + 17, ringMembers.end());
  BOOST_TEST((byName() == expected));
}

// Guards against hosts of a lost domain that have too few partners to report
// them.
BOOST_AUTO_TEST_CASE(IncludeAtLeastTwoOutsideTheDomain)
{
  for (const Fleet& fleet : kFleets) {
    if (fleet.domains < 3 || fleet.hosts < 12) {
      continue;
    }
    const auto ringMembers =
      RingMembersOf(fleet.hosts, fleet.regions, fleet.domains);
    const PartnerRing ring(ringMembers);
    for (std::size_t i = 0; i < ringMembers.size(); ++i) {
      const auto partners = ring.PartnersOf(i);
      const auto outside =
        std::count_if(partners.begin(), partners.end(), [&](auto aPartner) {
          return ringMembers[aPartner].domain != ringMembers[i].domain;
        });
      BOOST_TEST(outside >= 2);
    }
  }
}

// Guards against a fleet in which reports cannot reach every host in time.
BOOST_AUTO_TEST_CASE(ConnectTheWholeFleetWithinFewHops)
{
  const auto ringMembers = RingMembersOf(1300, 6, 15);
  const PartnerRing ring(ringMembers);
  std::vector<int> hops(ringMembers.size(), -1);
  std::vector<std::uint32_t> queue{ 0 };
  hops[0] = 0;
  for (std::size_t next = 0; next < queue.size(); ++next) {
    for (const std::uint32_t partner : ring.PartnersOf(queue[next])) {
      if (hops[partner] < 0) {
        hops[partner] = hops[queue[next]] + 1;
        queue.push_back(partner);
      }
    }
  }
  BOOST_TEST(queue.size() == ringMembers.size());
  const int farthest = *std::max_element(hops.begin(), hops.end());
  BOOST_TEST_MESSAGE("1,300 hosts: farthest host after " << farthest
                                                         << " hops");
  BOOST_TEST(farthest <= 19);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Reports)

namespace {

// Reports the links from the first aCount partners of aMember.
void
ReportFrom(ReachabilityEvaluator& aEvaluator,
           const PartnerRing& aRing,
           std::size_t aMember,
           std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    aEvaluator.ReportLink(aRing.PartnersOf(aMember)[i], aMember);
  }
}

} // namespace

// Guards against a host that becomes unreachable by a minority of reports, or
// stays reachable against a majority.
BOOST_AUTO_TEST_CASE(NeedAMajorityOfThePartners)
{
  const auto ringMembers = RingMembersOf(48, 1, 1);
  const PartnerRing ring(ringMembers);
  constexpr std::size_t kMember = 20;
  const std::size_t partners = ring.PartnersOf(kMember).size();
  for (std::size_t reports = 0; reports <= partners; ++reports) {
    ReachabilityEvaluator evaluator(ring, 0);
    ReportFrom(evaluator, ring, kMember, reports);
    const auto results = evaluator.Evaluate();
    const bool isMajority = reports * 2 > partners;
    BOOST_TEST((results[kMember] == (isMajority ? Reachability::Unresponsive
                                                : Reachability::Reachable)));
    for (std::size_t i = 0; i < ringMembers.size(); ++i) {
      if (i != kMember) {
        BOOST_TEST((results[i] == Reachability::Reachable));
      }
    }
  }
}

// Guards against a single faulty reporter that makes a host unreachable.
BOOST_AUTO_TEST_CASE(NeedTwoReportersExceptInAFleetOfTwo)
{
  {
    const PartnerRing ring(RingMembersOf(3, 1, 3));
    ReachabilityEvaluator evaluator(ring, 0);
    evaluator.ReportLink(0, 1);
    BOOST_TEST((evaluator.Evaluate()[1] == Reachability::Reachable));
    evaluator.ReportLink(2, 1);
    BOOST_TEST((evaluator.Evaluate()[1] == Reachability::Unresponsive));
  }
  {
    // A host that receives nothing cannot tell whether the others are
    // unreachable.
    const PartnerRing ring(RingMembersOf(3, 1, 3));
    ReachabilityEvaluator evaluator(ring, 0);
    evaluator.ReportLink(0, 1);
    evaluator.ReportLink(0, 2);
    BOOST_TEST((evaluator.Evaluate()[1] == Reachability::Reachable));
  }
  {
    const PartnerRing ring(RingMembersOf(2, 1, 2));
    ReachabilityEvaluator evaluator(ring, 0);
    evaluator.ReportLink(0, 1);
    BOOST_TEST((evaluator.Evaluate()[1] == Reachability::Unresponsive));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Ownership)

namespace {

Member
MemberOf(const std::string& aHost,
         const std::string& aRegion,
         const std::string& aDomain,
         HostState aState = HostState::Live)
{
  Member member;
  member.host = aHost;
  member.region = aRegion;
  member.domain = aDomain;
  member.state = aState;
  return member;
}

std::vector<Member>
Members()
{
  std::vector<Member> members;
  members.reserve(48);
  for (int i = 0; i < 48; ++i) {
    members.push_back(MemberOf("host-" + std::to_string(i),
                               i < 24 ? "north" : "south",
                               "domain-" + std::to_string(i % 6)));
  }
  return members;
}

} // namespace

BOOST_AUTO_TEST_CASE(GoesToTheDomainThenTheRegionThenAnyHost)
{
  auto members = Members();
  std::shared_ptr<const MembershipView> view;
  const auto owner = [&] {
    view = MembershipView::Create("host-0", members, false);
    return view->OwnerOfShard("shard", "north", "domain-1");
  };
  BOOST_TEST(owner()->domain == "domain-1");
  BOOST_TEST(owner()->region == "north");
  for (Member& member : members) {
    if (member.domain == "domain-1" && member.region == "north") {
      member.state = HostState::Unreachable;
    }
  }
  BOOST_TEST(owner()->domain != "domain-1");
  BOOST_TEST(owner()->region == "north");
  for (Member& member : members) {
    if (member.region == "north") {
      member.state = HostState::Leaving;
    }
  }
  BOOST_TEST(owner()->region == "south");
  for (Member& member : members) {
    member.state = HostState::Unreachable;
  }
  BOOST_TEST((owner() == nullptr));
}

// Guards against an owner or home host that is not live, and against shards and
// customers that move without need: each move drops queues and shares.
BOOST_AUTO_TEST_CASE(MovesOnlyFromTheHostThatIsLost)
{
  for (const HostState state : { HostState::Unreachable, HostState::Leaving }) {
    auto members = Members();
    const auto before = MembershipView::Create("host-0", members, false);
    members[7].state = state;
    const auto after = MembershipView::Create("host-0", members, false);
    int moved = 0;
    for (int i = 0; i < 2000; ++i) {
      const std::string key = "key-" + std::to_string(i);
      const Member* homeBefore = before->HomeOfCustomer(key);
      const Member* homeAfter = after->HomeOfCustomer(key);
      const Member* ownerBefore =
        before->OwnerOfShard(key, "north", "domain-1");
      const Member* ownerAfter = after->OwnerOfShard(key, "north", "domain-1");
      if (homeBefore->host == "host-7") {
        ++moved;
        BOOST_TEST(homeAfter->host != "host-7");
      } else {
        BOOST_TEST(homeAfter->host == homeBefore->host);
      }
      if (ownerBefore->host == "host-7") {
        BOOST_TEST(ownerAfter->host != "host-7");
      } else {
        BOOST_TEST(ownerAfter->host == ownerBefore->host);
      }
    }
    BOOST_TEST(moved > 0);
  }
}

// Guards against a hash that assigns most of the customers to a few hosts.
BOOST_AUTO_TEST_CASE(IsSpreadEvenly)
{
  const auto view = MembershipView::Create("host-0", Members(), false);
  std::map<std::string, int> homes;
  constexpr int kCustomers = 48'000;
  for (int i = 0; i < kCustomers; ++i) {
    ++homes[view->HomeOfCustomer("customer-" + std::to_string(i))->host];
  }
  BOOST_TEST(homes.size() == 48U);
  for (const auto& [host, count] : homes) {
    // 1,000 are expected; the standard deviation is 32.
    BOOST_TEST(count > 800);
    BOOST_TEST(count < 1200);
  }
}

// Guards against an isolated host that still owns shards or customers.
BOOST_AUTO_TEST_CASE(IsNeverGivenToAnIsolatedHost)
{
  const auto view = MembershipView::Create("host-3", Members(), true);
  for (int i = 0; i < 1000; ++i) {
    const std::string key = std::to_string(i);
    BOOST_TEST(view->HomeOfCustomer(key)->host != "host-3");
    BOOST_TEST(view->OwnerOfShard(key, "north", "domain-3")->host != "host-3");
  }
}

// Guards against crashes on member lists without the host itself or with
// duplicates.
BOOST_AUTO_TEST_CASE(NeedsAViewThatIncludesTheHostItself)
{
  BOOST_TEST((MembershipView::Create("nobody", Members(), false) == nullptr));
  BOOST_TEST((MembershipView::Create("nobody", {}, false) == nullptr));
  auto members = Members();
  members.push_back(members.front());
  const auto view = MembershipView::Create("host-0", members, false);
  BOOST_TEST(view->Members().size() == 48U);
  BOOST_TEST(view->LiveCount() == 48);
  BOOST_TEST(view->Self().host == "host-0");
  BOOST_TEST((view->Find("nobody") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
