#include "entry/ShardSelector.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Round trips assumed between an entry host and an owner. Domains of a region
// are 4 or 5 ms apart one way; regions are taken as last resort only.
constexpr Duration kSameDomainRoundTrip = milliseconds(1);
constexpr Duration kSameRegionRoundTrip = milliseconds(10);
constexpr Duration kOtherRegionRoundTrip = milliseconds(200);

// Time for which a slot is assumed to be taken by one request.
constexpr Duration kTypicalServiceTime = milliseconds(50);

// A report says nothing about the queue after most slots have turned over.
constexpr Duration kLoadLifetime = milliseconds(250);

// Within this time after a failure, the next heartbeats tell of a new owner.
constexpr Duration kOwnerFailureLifetime = milliseconds(1'000);
constexpr Duration kOwnerFailurePenalty = milliseconds(1'000);

// A shard without any slot that takes work stays so for a while.
constexpr Duration kNoSlotsLifetime = milliseconds(2'000);
constexpr Duration kNoSlotsPenalty = milliseconds(1'000);

// Slots of the backend servers that are not marked as leaving.
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
    // Equal shards are chosen with equal probability, so that entry hosts do
    // not all prefer the same one.
    if (delay == bestDelay && random_.Below(++ties) == 0) {
      best = &shard;
    }
  }
  return best;
}

void
ShardSelector::OnRelayed(std::string_view aShard)
{
  Knowledge& known = knowledge_[std::string(aShard)];
  ++known.relayedSince;
  ++known.unanswered;
}

void
ShardSelector::OnAnswered(std::string_view aShard)
{
  const auto known = knowledge_.find(aShard);
  if (known != knowledge_.end() && known->second.unanswered > 0) {
    --known->second.unanswered;
  }
}

void
ShardSelector::OnOwnerFailed(std::string_view aShard)
{
  Knowledge& known = knowledge_[std::string(aShard)];
  known.ownerFailedAt = clock_.Now();
  known.hasOwnerFailed = true;
}

void
ShardSelector::OnLoad(std::string_view aShard, const RelayLoad& aLoad)
{
  Knowledge& known = knowledge_[std::string(aShard)];
  known.load = aLoad;
  known.heardAt = clock_.Now();
  known.isHeard = true;
  known.relayedSince = 0;
  known.hasOwnerFailed = false;
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
  const auto known = knowledge_.find(aShard.key);
  if (known == knowledge_.end()) {
    return delay;
  }
  return delay + ExpectedWait(aShard, known->second);
}

Duration
ShardSelector::ExpectedWait(const Shard& aShard,
                            const Knowledge& aKnowledge) const
{
  const Instant now = clock_.Now();
  if (aKnowledge.hasOwnerFailed &&
      now - aKnowledge.ownerFailedAt < kOwnerFailureLifetime) {
    return kOwnerFailurePenalty;
  }
  const Duration age = now - aKnowledge.heardAt;
  if (aKnowledge.isHeard && aKnowledge.load.slots == 0 &&
      age < kNoSlotsLifetime) {
    return kNoSlotsPenalty;
  }
  int slots = ConfiguredSlots(aShard);
  int taken = aKnowledge.unanswered;
  if (aKnowledge.isHeard && aKnowledge.load.slots > 0 && age < kLoadLifetime) {
    slots = aKnowledge.load.slots;
    taken = slots - aKnowledge.load.freeSlots + aKnowledge.load.queued +
            aKnowledge.relayedSince;
  }
  const int waiting = taken - slots + 1;
  return waiting > 0 ? kTypicalServiceTime * waiting / slots : Duration::zero();
}

} // namespace filbertbeam
