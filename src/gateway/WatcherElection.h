#pragma once

#include "balancing/PeerHost.h"
#include "base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace filbertbeam {

// Tasks of a host within its failure domain.
struct WatcherRole
{
  // The host watches the catalog itself; otherwise it follows a watcher.
  bool watchesCatalog = false;
  // The host watches the catalog and hears of no watcher that ranks before it.
  bool isFirstWatcher = false;
  // The host reports to the others that it watches the catalog.
  bool sendsHeartbeats = false;
  // The host sends heartbeats also while it cannot read the catalog. Only a few
  // hosts do.
  bool sendsHeartbeatsInOutage = false;
};

// Decides which hosts of a failure domain watch the catalog for the others.
// There is no vote: each host ranks all hosts by processor cores, then by a
// hash of their names, and becomes a watcher when it receives heartbeats from
// too few watchers that rank before it. Hosts that disagree, or receive no
// heartbeats, only cost the catalog more calls.
class WatcherElection
{
public:
  WatcherElection(std::string aSelf, double aProcessorCores);

  // The other hosts of the failure domain.
  void SetPeers(std::span<const PeerHost> aPeers);
  // aHost sent a heartbeat that says when the catalog last responded to it.
  void OnHeartbeat(const std::string& aHost,
                   Instant aNow,
                   Instant aCatalogRespondedAt);
  // aHost sent heartbeats but does not respond to requests or cannot read the
  // catalog. It does not count as a watcher until its next heartbeat.
  void OnUnreachable(const std::string& aHost);

  WatcherRole Decide(Instant aNow);
  // When the catalog last responded to a watcher that ranks before this host;
  // empty if there is none.
  std::optional<Instant> CatalogRespondedAt() const;

private:
  struct Watcher
  {
    Instant heartbeatAt;
    Instant catalogRespondedAt;
  };

  // Hosts with more processor cores rank first, hosts that no list has shown
  // rank last.
  using Rank = std::pair<double, std::uint64_t>;
  static Rank MakeRank(const std::string& aHost, double aProcessorCores);
  Rank RankOf(const std::string& aHost) const;
  // True shortly after the first host list, while the first heartbeat may still
  // arrive. The catalog has been read a moment before.
  bool IsFirstHeartbeatPending(Instant aNow);

  const std::string self_;
  const Rank rank_;
  std::map<std::string, Rank, std::less<>> ranks_;
  // Number of peers that rank before this host; empty before the first list.
  std::optional<int> precedingPeers_;
  // The watchers that this host hears, by name.
  std::map<std::string, Watcher, std::less<>> watchers_;
  std::optional<Instant> watcherShortageSince_;
  // The time of the first decision with a host list.
  std::optional<Instant> peersKnownSince_;
  bool hasReceivedHeartbeat_ = false;
};

// Time between heartbeats while nothing changes.
inline constexpr std::chrono::milliseconds kWatcherHeartbeatInterval{ 400 };
// A single lost datagram must not count as the loss of a watcher. Changes that
// a host reads only after this time still take effect within the bounds of a
// deployment.
inline constexpr std::chrono::milliseconds kWatcherHeartbeatTimeout{ 1'100 };
// Whatever a watcher sends, it counts no longer than this after the catalog
// last responded to it. A watcher makes a probe before, and a single lost
// datagram may hide the response to it; the same bounds hold.
inline constexpr std::chrono::milliseconds kCatalogResponseTimeout{ 1'400 };

} // namespace filbertbeam
