#include "gateway/WatcherElection.h"

#include "base/Digest.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// With two, the loss of one leaves no host without word.
constexpr int kWatchers = 2;
// While nobody reads the catalog, every host has to watch. These tell those
// that start what they know.
constexpr int kOutageWatchers = 4;
// A lost datagram is no loss of the watcher, and what a host learns after this
// time is still in force within the bounds of a deployment.
constexpr milliseconds kWatcherHeartbeatTimeout{ 1'100 };
// Hosts take over one after the other, each when those before it had time to.
constexpr milliseconds kTakeoverStagger{ 100 };

} // namespace

WatcherElection::WatcherElection(std::string aSelf, double aProcessorCores)
  : self_(std::move(aSelf))
  , rank_(MakeRank(self_, aProcessorCores))
{
}

WatcherElection::Rank
WatcherElection::MakeRank(const std::string& aHost, double aProcessorCores)
{
  static const std::uint64_t seed = StableHash("catalog-watcher");
  return { -aProcessorCores, StableHash(aHost, seed) };
}

WatcherElection::Rank
WatcherElection::RankOf(const std::string& aHost) const
{
  const auto rank = ranks_.find(aHost);
  return rank == ranks_.end() ? MakeRank(aHost, 0) : rank->second;
}

void
WatcherElection::SetPeers(std::span<const PeerHost> aPeers)
{
  if (!precedingPeers_) {
    // Those before this host learn of the others at the same time.
    watcherShortageSince_.reset();
  }
  ranks_.clear();
  int before = 0;
  for (const PeerHost& peer : aPeers) {
    const Rank rank = MakeRank(peer.name, peer.processorCores);
    ranks_.emplace(peer.name, rank);
    before += rank < rank_ ? 1 : 0;
  }
  precedingPeers_ = before;
}

void
WatcherElection::OnHeartbeat(const std::string& aHost, Instant aNow)
{
  lastHeartbeatAt_.insert_or_assign(aHost, aNow);
}

void
WatcherElection::OnUnreachable(const std::string& aHost)
{
  lastHeartbeatAt_.erase(aHost);
}

WatcherRole
WatcherElection::Decide(Instant aNow)
{
  std::erase_if(lastHeartbeatAt_, [aNow](const auto& aItem) {
    return aNow - aItem.second > kWatcherHeartbeatTimeout;
  });
  const auto before =
    std::ranges::count_if(lastHeartbeatAt_, [this](const auto& aItem) {
      return RankOf(aItem.first) < rank_;
    });
  if (before >= kWatchers) {
    watcherShortageSince_.reset();
    return {};
  }
  if (!watcherShortageSince_) {
    watcherShortageSince_ = aNow;
  }
  WatcherRole role;
  role.sendsHeartbeats =
    precedingPeers_ &&
    aNow - *watcherShortageSince_ >= kTakeoverStagger * *precedingPeers_;
  role.watchesCatalog = role.sendsHeartbeats || lastHeartbeatAt_.empty();
  role.sendsHeartbeatsInOutage =
    role.sendsHeartbeats && *precedingPeers_ < kOutageWatchers;
  return role;
}

} // namespace filbertbeam
