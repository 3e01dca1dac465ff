#include "balancing/OwnerRanking.h"

#include "base/Digest.h"
#include "base/Log.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// A peer that misses this many answers in a row is passed over for a while.
constexpr int kMissesUntilDown = 2;
constexpr milliseconds kShortestDown{ 1'000 };
constexpr int kMaxDownDoublings = 3;

// Does not depend on the number of shards, so that shards keep their owners
// when it changes.
std::uint64_t
KeyOf(const Shard& aShard)
{
  return StableHash(aShard.service, aShard.index);
}

} // namespace

OwnerRanking::OwnerRanking(std::string aSelf)
  : self_(std::move(aSelf))
{
}

std::vector<PeerHost>
OwnerRanking::SetHosts(std::vector<PeerHost> aHosts)
{
  std::vector<PeerHost> added;
  for (const PeerHost& host : aHosts) {
    const bool isKnown =
      std::ranges::any_of(hosts_, [&host](const PeerHost& aKnown) {
        return aKnown.name == host.name && aKnown.address == host.address;
      });
    if (!isKnown && host.name != self_) {
      added.push_back(host);
    }
  }
  hosts_ = std::move(aHosts);
  knowsHosts_ = true;
  std::erase_if(peers_, [this](const auto& aItem) {
    return std::ranges::find(hosts_, aItem.first, &PeerHost::name) ==
           hosts_.end();
  });
  return added;
}

bool
OwnerRanking::OnHeard(const std::string& aHost,
                      const std::string& aDomain,
                      const Endpoint& aAddress)
{
  OnAnswer(aHost);
  const auto known = std::ranges::find(hosts_, aHost, &PeerHost::name);
  if (known == hosts_.end()) {
    hosts_.push_back({ aHost, aDomain, aAddress });
    return true;
  }
  known->address = aAddress;
  return false;
}

void
OwnerRanking::OnAnswer(const std::string& aHost)
{
  peers_.erase(aHost);
}

void
OwnerRanking::OnMissedAnswer(const std::string& aHost, Instant aNow)
{
  PeerState& peer = peers_[aHost];
  ++peer.missedAnswers;
  const int doublings = peer.missedAnswers - kMissesUntilDown;
  if (doublings < 0) {
    return;
  }
  peer.downUntil =
    aNow + kShortestDown * (1 << std::min(doublings, kMaxDownDoublings));
  LogEvent(LogLevel::Info,
           "peer_passed_over",
           { { "peer", aHost }, { "missed_answers", peer.missedAnswers } });
}

const PeerHost*
OwnerRanking::OwnerOf(const Shard& aShard, Instant aNow) const
{
  const std::uint64_t key = KeyOf(aShard);
  const PeerHost* owner = nullptr;
  std::uint64_t ownerWeight = StableHash(self_, key);
  for (const PeerHost& host : hosts_) {
    const std::uint64_t weight = StableHash(host.name, key);
    if (host.name == self_ || weight <= ownerWeight) {
      continue;
    }
    const auto peer = peers_.find(host.name);
    if (peer != peers_.end() && aNow < peer->second.downUntil) {
      continue;
    }
    owner = &host;
    ownerWeight = weight;
  }
  return owner;
}

std::size_t
OwnerRanking::RankOfSelf(const Shard& aShard) const
{
  const std::uint64_t key = KeyOf(aShard);
  const std::uint64_t weight = StableHash(self_, key);
  return static_cast<std::size_t>(
    std::ranges::count_if(hosts_, [&](const PeerHost& aHost) {
      return aHost.name != self_ && StableHash(aHost.name, key) > weight;
    }));
}

} // namespace filbertbeam
