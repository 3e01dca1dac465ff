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
// The share of the shards that a host owns is proportional to this power of its
// processor capacity. Owners need only a little of a large processor, and
// larger hosts respond sooner.
constexpr double kProcessorCoresExponent = 3;

// The host with the lowest distance is the owner. Distances are exponentially
// distributed, so each host has the lowest one with a probability in proportion
// to its rate.
double
Distance(std::string_view aHost, double aProcessorCores, std::uint64_t aKey)
{
  constexpr double kHashes = 18'446'744'073'709'551'616.0;
  const double uniform =
    (static_cast<double>(StableHash(aHost, aKey)) + 1) / (kHashes + 1);
  const double rate = std::pow(aProcessorCores, kProcessorCoresExponent);
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
  precedingHosts_.clear();
  hasHostList_ = true;
  std::erase_if(peers_, [this](const auto& aItem) {
    return std::ranges::find(hosts_, aItem.first, &PeerHost::name) ==
           hosts_.end();
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
  const auto known = std::ranges::find(hosts_, aHost, &PeerHost::name);
  if (known == hosts_.end()) {
    hosts_.push_back({ aHost, aDomain, aAddress, {}, aProcessorCores });
    precedingHosts_.clear();
    return true;
  }
  known->address = aAddress;
  if (aProcessorCores <= 0 || known->processorCores == aProcessorCores) {
    return false;
  }
  known->processorCores = aProcessorCores;
  precedingHosts_.clear();
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
  for (const std::uint32_t index : FindPrecedingHosts(aService, aShard)) {
    if (!IsDown(hosts_[index].name, aNow)) {
      return &hosts_[index];
    }
  }
  return nullptr;
}

std::size_t
OwnerRanking::RankOfSelf(std::string_view aService, std::uint32_t aShard)
{
  return FindPrecedingHosts(aService, aShard).size();
}

const OwnerRanking::PrecedingHosts&
OwnerRanking::FindPrecedingHosts(std::string_view aService,
                                 std::uint32_t aShard)
{
  const std::uint64_t key = StableHash(aService, aShard);
  const auto [entry, isNew] = precedingHosts_.try_emplace(key);
  if (!isNew) {
    return entry->second;
  }
  const double ownDistance = Distance(self_, processorCores_, key);
  std::vector<std::pair<double, std::uint32_t>> nearer;
  for (std::uint32_t index = 0; index < hosts_.size(); ++index) {
    const PeerHost& host = hosts_[index];
    const double distance = Distance(host.name, host.processorCores, key);
    if (host.name != self_ && distance < ownDistance) {
      nearer.emplace_back(distance, index);
    }
  }
  std::ranges::sort(nearer);
  for (const auto& [distance, index] : nearer) {
    entry->second.push_back(index);
  }
  return entry->second;
}

bool
OwnerRanking::IsDown(const std::string& aHost, Instant aNow) const
{
  const auto peer = peers_.find(aHost);
  return peer != peers_.end() && aNow < peer->second.downUntil;
}

} // namespace filbertbeam
