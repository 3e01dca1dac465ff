#include "entry/ShardSelector.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Assumed round-trip times between an entry host and an owner. The one-way
// delay between failure domains of a region is 4 or 5 ms. The value for other
// regions makes them a last resort.
constexpr Duration kSameDomainRoundTrip = milliseconds(1);
constexpr Duration kSameRegionRoundTrip = milliseconds(10);
constexpr Duration kOtherRegionRoundTrip = milliseconds(200);

// Assumed time for which a request occupies a slot.
constexpr Duration kTypicalServiceTime = milliseconds(50);

// After this time most of the reported requests have finished, so the load
// report no longer describes the queue.
constexpr Duration kLoadLifetime = milliseconds(250);

// Within this time after a failure, heartbeats report the new owner.
constexpr Duration kOwnerFailureLifetime = milliseconds(1'000);
constexpr Duration kOwnerFailurePenalty = milliseconds(1'000);

// A shard that reported no usable slot is expected to have none for this time.
constexpr Duration kNoSlotsLifetime = milliseconds(2'000);
constexpr Duration kNoSlotsPenalty = milliseconds(1'000);

// Returns the number of slots of the backend servers that are not marked as
// leaving.
int
ConfiguredSlots(const Shard& aShard)
{
  int slots = 0;
  for (const BackendServer* server : aShard.backendServers) {
    slots += server->isLeaving ? 0 : server->slots;
  }
  return slots;
}

} // namespace

ShardSelector::ShardSelector(const Clock& aClock, Random& aRandom)
  : clock_(aClock)
  , random_(aRandom)
{
}

const Shard*
ShardSelector::Choose(std::span<const Shard> aShards,
                      const Member& aSelf,
                      const std::set<std::string, std::less<>>& aExcluded)
{
  const Shard* best = nullptr;
  Duration bestDelay{};
  std::uint64_t ties = 0;
  for (const Shard& shard : aShards) {
    if (aExcluded.contains(shard.key)) {
      continue;
    }
    const Duration delay = ExpectedDelay(shard, aSelf);
    if (!best || delay < bestDelay) {
      best = &shard;
      bestDelay = delay;
      ties = 1;
      continue;
    }
    // Shards with equal delays are chosen with equal probability, so that
    // entry hosts do not all prefer the same one.
    if (delay == bestDelay && random_.Below(++ties) == 0) {
      best = &shard;
    }
  }
  return best;
}

void
ShardSelector::OnRelayed(std::string_view aShard)
{
  ShardState& state = shardStates_[std::string(aShard)];
  ++state.relayedSinceReport;
  ++state.pendingRequests;
}

void
ShardSelector::OnCompleted(std::string_view aShard)
{
  const auto state = shardStates_.find(aShard);
  if (state != shardStates_.end() && state->second.pendingRequests > 0) {
    --state->second.pendingRequests;
  }
}

void
ShardSelector::OnOwnerFailed(std::string_view aShard)
{
  ShardState& state = shardStates_[std::string(aShard)];
  state.ownerFailedAt = clock_.Now();
  state.hasOwnerFailed = true;
}

void
ShardSelector::OnLoadReport(std::string_view aShard, const RelayLoad& aLoad)
{
  ShardState& state = shardStates_[std::string(aShard)];
  state.load = aLoad;
  state.reportedAt = clock_.Now();
  state.hasReport = true;
  state.relayedSinceReport = 0;
  state.hasOwnerFailed = false;
}

Duration
ShardSelector::ExpectedDelay(const Shard& aShard, const Member& aSelf) const
{
  Duration delay = kOtherRegionRoundTrip;
  if (aShard.region == aSelf.region) {
    delay = aShard.domain == aSelf.domain ? kSameDomainRoundTrip
                                          : kSameRegionRoundTrip;
  }
  if (ConfiguredSlots(aShard) == 0) {
    return delay + kNoSlotsPenalty;
  }
  const auto state = shardStates_.find(aShard.key);
  if (state == shardStates_.end()) {
    return delay;
  }
  return delay + ExpectedWait(aShard, state->second);
}

Duration
ShardSelector::ExpectedWait(const Shard& aShard, const ShardState& aState) const
{
  const Instant now = clock_.Now();
  if (aState.hasOwnerFailed &&
      now - aState.ownerFailedAt < kOwnerFailureLifetime) {
    return kOwnerFailurePenalty;
  }
  const Duration age = now - aState.reportedAt;
  if (aState.hasReport && aState.load.slots == 0 && age < kNoSlotsLifetime) {
    return kNoSlotsPenalty;
  }
  int slots = ConfiguredSlots(aShard);
  int taken = aState.pendingRequests;
  if (aState.hasReport && aState.load.slots > 0 && age < kLoadLifetime) {
    slots = aState.load.slots;
    taken = slots - aState.load.freeSlots + aState.load.queued +
            aState.relayedSinceReport;
  }
  const int waiting = taken - slots + 1;
  return waiting > 0 ? kTypicalServiceTime * waiting / slots : Duration::zero();
}

} // namespace filbertbeam
