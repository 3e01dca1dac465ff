#include "balancing/OwnerRanking.h"

#include "base/Digest.h"
#include "base/Log.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// A peer that misses this many responses in a row is considered down for a
// while.
constexpr int kMissedResponsesUntilDown = 2;
constexpr milliseconds kMinDownTime{ 1'000 };
constexpr int kMaxDownDoublings = 3;
// The share of the shards that a host owns is proportional to the third power
// of its processor capacity. Owners need only a little of a large processor,
// and larger hosts respond sooner.
double
OwnershipRate(double aProcessorCores)
{
  return aProcessorCores * aProcessorCores * aProcessorCores;
}

// The host with the lowest distance is the owner. Distances are exponentially
// distributed, so each host has the lowest one with a probability in proportion
// to its rate.
double
Distance(std::string_view aHost, double aProcessorCores, std::uint64_t aKey)
{
  constexpr double kHashes = 18'446'744'073'709'551'616.0;
  const double uniform =
    (static_cast<double>(StableHash(aHost, aKey)) + 1) / (kHashes + 1);
  const double rate = OwnershipRate(aProcessorCores);
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
  std::unordered_map<std::string, std::uint32_t> indexes;
  for (std::uint32_t index = 0; index < aHosts.size(); ++index) {
    const PeerHost& host = aHosts[index];
    indexes.emplace(host.name, index);
    const auto known = indexes_.find(host.name);
    const bool isKnown =
      known != indexes_.end() && hosts_[known->second].address == host.address;
    if (!isKnown && host.name != self_) {
      added.push_back(host);
    }
  }
  hosts_ = std::move(aHosts);
  indexes_ = std::move(indexes);
  rankings_.clear();
  hasHostList_ = true;
  std::erase_if(peers_, [this](const auto& aItem) {
    return !indexes_.contains(aItem.first);
  });
  return added;
}

bool
OwnerRanking::OnPeerMessage(const std::string& aHost,
                            const std::string& aDomain,
                            const Endpoint& aAddress,
                            double aProcessorCores)
{
  OnResponse(aHost);
  const auto [known, isNew] =
    indexes_.try_emplace(aHost, static_cast<std::uint32_t>(hosts_.size()));
  const std::uint32_t index = known->second;
  if (isNew) {
    hosts_.push_back({ aHost, aDomain, aAddress, {}, aProcessorCores });
    RankAgain(index);
    return true;
  }
  PeerHost& host = hosts_[index];
  host.address = aAddress;
  if (aProcessorCores <= 0 || host.processorCores == aProcessorCores) {
    return false;
  }
  host.processorCores = aProcessorCores;
  RankAgain(index);
  return true;
}

void
OwnerRanking::OnResponse(const std::string& aHost)
{
  peers_.erase(aHost);
}

void
OwnerRanking::OnMissedResponse(const std::string& aHost, Instant aNow)
{
  PeerState& peer = peers_[aHost];
  ++peer.missedResponses;
  const int doublings = peer.missedResponses - kMissedResponsesUntilDown;
  if (doublings < 0) {
    return;
  }
  peer.downUntil =
    aNow + kMinDownTime * (1 << std::min(doublings, kMaxDownDoublings));
  LogEvent(LogLevel::Info,
           "peer_passed_over",
           { { "peer", aHost }, { "missed_answers", peer.missedResponses } });
}

const PeerHost*
OwnerRanking::OwnerOf(std::string_view aService,
                      std::uint32_t aShard,
                      Instant aNow)
{
  for (const auto& [distance, host] : FindRanking(aService, aShard).preceding) {
    if (!IsDown(hosts_[host].name, aNow)) {
      return &hosts_[host];
    }
  }
  return nullptr;
}

std::size_t
OwnerRanking::RankOfSelf(std::string_view aService, std::uint32_t aShard)
{
  return FindRanking(aService, aShard).preceding.size();
}

const OwnerRanking::ShardRanking&
OwnerRanking::FindRanking(std::string_view aService, std::uint32_t aShard)
{
  const std::uint64_t key = StableHash(aService, aShard);
  const auto [entry, isNew] = rankings_.try_emplace(key);
  ShardRanking& ranking = entry->second;
  if (isNew) {
    ranking = { key, Distance(self_, processorCores_, key), {} };
    for (std::uint32_t host = 0; host < hosts_.size(); ++host) {
      Rank(host, ranking);
    }
  }
  return ranking;
}

void
OwnerRanking::RankAgain(std::uint32_t aHost)
{
  for (auto& [key, ranking] : rankings_) {
    std::erase_if(ranking.preceding, [aHost](const PrecedingHost& aPreceding) {
      return aPreceding.host == aHost;
    });
    Rank(aHost, ranking);
  }
}

void
OwnerRanking::Rank(std::uint32_t aHost, ShardRanking& aRanking) const
{
  const PeerHost& host = hosts_[aHost];
  const PrecedingHost ranked{
    Distance(host.name, host.processorCores, aRanking.key), aHost
  };
  if (host.name != self_ && ranked.distance < aRanking.ownDistance) {
    aRanking.preceding.insert(
      std::ranges::upper_bound(
        aRanking.preceding, ranked.distance, {}, &PrecedingHost::distance),
      ranked);
  }
}

bool
OwnerRanking::IsDown(const std::string& aHost, Instant aNow) const
{
  const auto peer = peers_.find(aHost);
  return peer != peers_.end() && aNow < peer->second.downUntil;
}

} // namespace filbertbeam
