#include "balancing/OwnerRanking.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

constexpr int kHosts = 40;
constexpr std::uint32_t kShards = 2'000;

// The first ten hosts have five times the processor capacity of the others.
double
CoresOf(int aHost)
{
  return aHost < 10 ? 0.5 : 0.1;
}

std::string
NameOf(int aHost)
{
  return "host-" + std::to_string(aHost);
}

std::vector<PeerHost>
AllHosts()
{
  std::vector<PeerHost> hosts;
  hosts.reserve(kHosts);
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back({ NameOf(i), "piarco", {}, {}, CoresOf(i) });
  }
  return hosts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OwnersOfShards)

// Guards against a small host that owns as much as a large one and is too slow
// to respond, and against a fleet in which only large hosts are owners.
BOOST_AUTO_TEST_CASE(AreMostlyHostsWithMoreProcessor)
{
  OwnerRanking ranking(NameOf(0), CoresOf(0));
  ranking.SetHosts(AllHosts());
  std::uint32_t ownedByLargeHosts = 0;
  for (std::uint32_t i = 0; i < kShards; ++i) {
    const PeerHost* owner = ranking.OwnerOf("permits", i, {});
    ownedByLargeHosts +=
      owner == nullptr || owner->processorCores > 0.4 ? 1 : 0;
  }
  BOOST_TEST(ownedByLargeHosts > kShards * 0.95);
  BOOST_TEST(ownedByLargeHosts < kShards);
}

// Guards against two hosts that both hold the burst share of the first owner.
BOOST_AUTO_TEST_CASE(HaveOneRankEach)
{
  for (std::uint32_t number = 0; number < 50; ++number) {
    std::set<std::size_t> ranks;
    for (int i = 0; i < kHosts; ++i) {
      OwnerRanking ranking(NameOf(i), CoresOf(i));
      ranking.SetHosts(AllHosts());
      const std::size_t rank = ranking.RankOfSelf("permits", number);
      BOOST_TEST((ranking.OwnerOf("permits", number, {}) == nullptr) ==
                 (rank == 0));
      ranks.insert(rank);
    }
    BOOST_TEST(ranks.size() == static_cast<std::size_t>(kHosts));
  }
}

// Guards against burst shares that move to other hosts with each missed
// response.
BOOST_AUTO_TEST_CASE(KeepTheirRankWhileTheyAreDown)
{
  OwnerRanking ranking(NameOf(39), CoresOf(39));
  ranking.SetHosts(AllHosts());
  const std::size_t rank = ranking.RankOfSelf("permits", 1);
  const PeerHost* owner = ranking.OwnerOf("permits", 1, {});
  BOOST_TEST_REQUIRE(owner != nullptr);
  const std::string name = owner->name;
  ranking.OnMissedResponse(name, {});
  BOOST_TEST(ranking.OwnerOf("permits", 1, {})->name == name);
  ranking.OnMissedResponse(name, {});
  BOOST_TEST(ranking.OwnerOf("permits", 1, {})->name != name);
  BOOST_TEST(ranking.RankOfSelf("permits", 1) == rank);
  ranking.OnResponse(name);
  BOOST_TEST(ranking.OwnerOf("permits", 1, {})->name == name);
}

// Guards against queries to a host of unknown processor capacity.
BOOST_AUTO_TEST_CASE(AreOnlyHostsWithKnownProcessorCores)
{
  OwnerRanking ranking("self", 0.1);
  ranking.SetHosts({});
  BOOST_TEST(ranking.OnPeerMessage("other", "piarco", {}));
  for (std::uint32_t i = 0; i < 50; ++i) {
    BOOST_TEST((ranking.OwnerOf("permits", i, {}) == nullptr));
  }
  BOOST_TEST(ranking.OnPeerMessage("other", "piarco", {}, 100));
  BOOST_TEST(!ranking.OnPeerMessage("other", "piarco", {}));
  BOOST_TEST((ranking.OwnerOf("permits", 1, {}) != nullptr));
}

// The hosts of a deployment of hundreds of hosts, which announce themselves one
// after the other when the deployment starts.
struct LargeDeploymentFixture
{
  static constexpr int kHostCount = 442;
  // Three services with 808 backend servers.
  static constexpr std::uint32_t kShardCount = 28;

  LargeDeploymentFixture()
  {
    for (int i = 0; i < kHostCount; ++i) {
      hosts.push_back({ NameOf(i), "piarco", {}, {}, CoresOf(i) });
    }
  }

  static std::vector<std::size_t> Ranks(OwnerRanking& aRanking)
  {
    std::vector<std::size_t> ranks;
    for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
      ranks.push_back(aRanking.RankOfSelf("permits", shard));
    }
    return ranks;
  }

  static std::string Owners(OwnerRanking& aRanking)
  {
    std::string owners;
    for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
      const PeerHost* owner = aRanking.OwnerOf("permits", shard, {});
      owners += (owner == nullptr ? "self" : owner->name) + " ";
    }
    return owners;
  }

  std::vector<PeerHost> hosts;
};

// Guards against hosts that disagree on the owners, because some learned of the
// others by a list and some by their announcements.
BOOST_FIXTURE_TEST_CASE(DoNotDependOnTheOrderInWhichHostsAreKnown,
                        LargeDeploymentFixture)
{
  OwnerRanking listed(NameOf(0), CoresOf(0));
  listed.SetHosts(hosts);
  OwnerRanking announced(NameOf(0), CoresOf(0));
  announced.SetHosts({});
  Ranks(announced);
  for (const PeerHost& host : hosts) {
    // A query comes first, which does not tell the capacity.
    announced.OnPeerMessage(host.name, host.domain, host.address);
    announced.OnPeerMessage(
      host.name, host.domain, host.address, host.processorCores);
  }
  BOOST_TEST(Ranks(announced) == Ranks(listed),
             boost::test_tools::per_element());
  BOOST_TEST(Owners(announced) == Owners(listed));
}

// Guards against a start of the deployment in which each announcement ranks all
// hosts again: a change of one host has to cost less than one ranking of the
// hosts for one shard.
BOOST_FIXTURE_TEST_CASE(CostLittleToUpdateForOneHost, LargeDeploymentFixture)
{
  using Clock = std::chrono::steady_clock;
  OwnerRanking ranking(NameOf(0), CoresOf(0));
  const auto begin = Clock::now();
  ranking.SetHosts(hosts);
  Ranks(ranking);
  const auto ranked = Clock::now();
  for (const PeerHost& host : hosts) {
    ranking.OnPeerMessage(host.name + "-new", host.domain, {}, 0.1);
    Ranks(ranking);
  }
  const auto updated = Clock::now();
  BOOST_TEST((updated - ranked) / kHostCount < (ranked - begin) / kShardCount);
}

BOOST_AUTO_TEST_SUITE_END()
