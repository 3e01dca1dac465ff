#include "configuration/ShardFloors.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <vector>

namespace filbertbeam {

namespace {

// Keeps rounding errors in products such as 0.7 x 10 from raising them to the
// next integer.
constexpr double kRoundingTolerance = 1e-9;

// Divides aAllowed servers in proportion to the sizes of the shards by the
// largest-remainder method; ties go to the earlier shard. Applying the floor to
// each shard separately would round up in every shard: of a service of 10
// servers in shards of 4, 3 and 3 with a floor of 0.7, only 1 server instead of
// 3 could then be ejected.
std::vector<std::size_t>
DivideServers(std::size_t aAllowed, std::span<const Shard> aShards)
{
  std::size_t servers = 0;
  for (const Shard& shard : aShards) {
    servers += shard.backendServers.size();
  }
  std::vector<std::size_t> quotas;
  std::vector<double> remainders;
  for (const Shard& shard : aShards) {
    const double exact = static_cast<double>(aAllowed) *
                         static_cast<double>(shard.backendServers.size()) /
                         static_cast<double>(servers);
    quotas.push_back(static_cast<std::size_t>(exact + kRoundingTolerance));
    remainders.push_back(exact - static_cast<double>(quotas.back()));
  }
  std::vector<std::size_t> order(aShards.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::ranges::stable_sort(order, std::greater{}, [&](std::size_t aIndex) {
    return remainders[aIndex];
  });
  std::size_t left = aAllowed - std::reduce(quotas.begin(), quotas.end());
  for (const std::size_t index : order) {
    if (left == 0) {
      break;
    }
    ++quotas[index];
    --left;
  }
  return quotas;
}

// Returns the slots that are lost if the aQuota servers with the most slots are
// ejected.
int
WorstCaseSlotLoss(const Shard& aShard, std::size_t aQuota)
{
  std::vector<int> slots;
  for (const BackendServer* server : aShard.backendServers) {
    slots.push_back(server->slots);
  }
  std::ranges::sort(slots, std::greater{});
  slots.resize(std::min(aQuota, slots.size()));
  return std::reduce(slots.begin(), slots.end());
}

int
TotalSlots(std::span<const Shard> aShards)
{
  int slots = 0;
  for (const Shard& shard : aShards) {
    slots += WorstCaseSlotLoss(shard, shard.backendServers.size());
  }
  return slots;
}

// Reduces the quotas until the floor also holds for the number of slots,
// whichever servers are ejected, as servers have different numbers of slots.
void
EnforceSlotFloor(double aServiceFloor,
                 std::span<const Shard> aShards,
                 std::vector<std::size_t>& aQuotas)
{
  const double allowed =
    (1 - aServiceFloor) * TotalSlots(aShards) + kRoundingTolerance;
  while (true) {
    int loss = 0;
    for (std::size_t i = 0; i < aShards.size(); ++i) {
      loss += WorstCaseSlotLoss(aShards[i], aQuotas[i]);
    }
    const auto largest = std::ranges::max_element(aQuotas);
    if (loss <= allowed || *largest == 0) {
      return;
    }
    --*largest;
  }
}

} // namespace

void
AssignShardFloors(double aServiceFloor, std::span<Shard> aShards)
{
  std::size_t servers = 0;
  for (const Shard& shard : aShards) {
    servers += shard.backendServers.size();
  }
  if (servers == 0) {
    return;
  }
  const double kept = std::ceil(aServiceFloor * static_cast<double>(servers) -
                                kRoundingTolerance);
  const std::size_t allowed =
    servers - std::min(servers, static_cast<std::size_t>(kept));
  std::vector<std::size_t> quotas = DivideServers(allowed, aShards);
  EnforceSlotFloor(aServiceFloor, aShards, quotas);
  for (std::size_t i = 0; i < aShards.size(); ++i) {
    const auto size = static_cast<double>(aShards[i].backendServers.size());
    aShards[i].floor = (size - static_cast<double>(quotas[i])) / size;
  }
}

} // namespace filbertbeam
