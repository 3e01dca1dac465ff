#include "balancing/OwnerRanking.h"

#include "base/Digest.h"
#include "base/Log.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// A peer that misses this many answers in a row is passed over for a while.
constexpr int kMissesUntilDown = 2;
constexpr milliseconds kShortestDown{ 1'000 };
constexpr int kMaxDownDoublings = 3;
// Power of a host's processor to which its share of the shards is proportional.
// An owner needs little of a large processor, and its answers come sooner.
constexpr double kProcessorPreference = 3;

// Does not depend on the number of shards, so that shards keep their owners
// when it changes.
std::uint64_t
KeyOf(const Shard& aShard)
{
  return StableHash(aShard.service, aShard.index);
}

// The host with the lowest one is the owner. An exponential variable: the
// lowest of many is that of each host with a probability in proportion to its
// rate.
double
Distance(std::string_view aHost, double aProcessorCores, std::uint64_t aKey)
{
  constexpr double kHashes = 18'446'744'073'709'551'616.0;
  const double uniform =
    (static_cast<double>(StableHash(aHost, aKey)) + 1) / (kHashes + 1);
  const double rate = std::pow(aProcessorCores, kProcessorPreference);
  return rate > 0 ? -std::log(uniform) / rate
                  : std::numeric_limits<double>::infinity();
}

} // namespace

OwnerRanking::OwnerRanking(std::string aSelf, double aProcessorCores)
  : self_(std::move(aSelf))
  , processorCores_(aProcessorCores)
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
                      const Endpoint& aAddress,
                      double aProcessorCores)
{
  OnAnswer(aHost);
  const auto known = std::ranges::find(hosts_, aHost, &PeerHost::name);
  if (known == hosts_.end()) {
    hosts_.push_back({ aHost, aDomain, aAddress, {}, aProcessorCores });
    return true;
  }
  known->address = aAddress;
  if (aProcessorCores <= 0 || known->processorCores == aProcessorCores) {
    return false;
  }
  known->processorCores = aProcessorCores;
  return true;
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
  double nearest = Distance(self_, processorCores_, key);
  for (const PeerHost& host : hosts_) {
    const double distance = Distance(host.name, host.processorCores, key);
    if (host.name == self_ || distance >= nearest) {
      continue;
    }
    const auto peer = peers_.find(host.name);
    if (peer != peers_.end() && aNow < peer->second.downUntil) {
      continue;
    }
    owner = &host;
    nearest = distance;
  }
  return owner;
}

std::size_t
OwnerRanking::RankOfSelf(const Shard& aShard) const
{
  const std::uint64_t key = KeyOf(aShard);
  const double own = Distance(self_, processorCores_, key);
  return static_cast<std::size_t>(
    std::ranges::count_if(hosts_, [&](const PeerHost& aHost) {
      return aHost.name != self_ &&
             Distance(aHost.name, aHost.processorCores, key) < own;
    }));
}

} // namespace filbertbeam
