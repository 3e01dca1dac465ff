#include "gateway/WatcherElection.h"

#include "base/Digest.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// With two, every host still has a watcher to follow when one is lost.
constexpr int kWatchers = 2;
// While no host can read the catalog, every host has to watch it. These hosts
// keep sending heartbeats, so that starting hosts can copy what they have read.
constexpr int kOutageWatchers = 4;
// Hosts take over one after the other. Each waits this long for every host that
// ranks before it.
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
    // The hosts that rank before this one read the list at the same time.
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
WatcherElection::OnHeartbeat(const std::string& aHost,
                             Instant aNow,
                             Instant aCatalogRespondedAt)
{
  Watcher& watcher = watchers_[aHost];
  watcher.heartbeatAt = aNow;
  // Heartbeats may arrive in another order than they were sent.
  watcher.catalogRespondedAt =
    std::max(watcher.catalogRespondedAt, aCatalogRespondedAt);
  hasReceivedHeartbeat_ = true;
}

void
WatcherElection::OnUnreachable(const std::string& aHost)
{
  watchers_.erase(aHost);
}

std::optional<Instant>
WatcherElection::CatalogRespondedAt() const
{
  std::optional<Instant> respondedAt;
  for (const auto& [host, watcher] : watchers_) {
    if (RankOf(host) < rank_) {
      respondedAt =
        std::max(respondedAt, std::optional(watcher.catalogRespondedAt));
    }
  }
  return respondedAt;
}

bool
WatcherElection::IsFirstHeartbeatPending(Instant aNow)
{
  if (precedingPeers_ && !peersKnownSince_) {
    peersKnownSince_ = aNow;
  }
  return !hasReceivedHeartbeat_ && peersKnownSince_ &&
         aNow - *peersKnownSince_ < kWatcherHeartbeatTimeout;
}

WatcherRole
WatcherElection::Decide(Instant aNow)
{
  const bool isFirstHeartbeatPending = IsFirstHeartbeatPending(aNow);
  std::erase_if(watchers_, [aNow](const auto& aItem) {
    const Watcher& watcher = aItem.second;
    return aNow - watcher.heartbeatAt > kWatcherHeartbeatTimeout ||
           aNow - watcher.catalogRespondedAt > kCatalogResponseTimeout;
  });
  const auto before =
    std::ranges::count_if(watchers_, [this](const auto& aItem) {
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
  role.watchesCatalog =
    role.sendsHeartbeats || (watchers_.empty() && !isFirstHeartbeatPending);
  role.isFirstWatcher = role.watchesCatalog && before == 0;
  role.sendsHeartbeatsInOutage =
    role.sendsHeartbeats && *precedingPeers_ < kOutageWatchers;
  return role;
}

} // namespace filbertbeam
