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

// What a host has to do for the hosts of its failure domain.
struct WatcherRole
{
  // Watches the catalog itself; otherwise it follows a watcher.
  bool watchesCatalog = false;
  // Tells the others that it watches.
  bool sendsHeartbeats = false;
  // Beats also while it does not read the catalog, as few do then.
  bool sendsHeartbeatsInOutage = false;
};

// Decides which hosts of a failure domain watch the catalog for the others.
// There is no vote: each host ranks all by processor, then by a hash of their
// names, and one that hears too few watchers ranked before it takes the duty
// over. Hosts that
// disagree, or hear nobody, only cost the catalog more calls.
class WatcherElection
{
public:
  WatcherElection(std::string aSelf, double aProcessorCores);

  // The other hosts of the failure domain.
  void SetPeers(std::span<const PeerHost> aPeers);
  void OnHeartbeat(const std::string& aHost, Instant aNow);
  // aHost beats but does not answer; it counts as silent until its next beat.
  void OnUnreachable(const std::string& aHost);

  WatcherRole Decide(Instant aNow);

private:
  // Hosts with more processor come first; those that no list showed come last.
  using Rank = std::pair<double, std::uint64_t>;
  static Rank MakeRank(const std::string& aHost, double aProcessorCores);
  Rank RankOf(const std::string& aHost) const;

  const std::string self_;
  const Rank rank_;
  std::map<std::string, Rank, std::less<>> ranks_;
  // Peers that are ranked before this host; unknown before the first list.
  std::optional<int> precedingPeers_;
  // When each watcher was last heard.
  std::map<std::string, Instant, std::less<>> lastHeartbeatAt_;
  std::optional<Instant> watcherShortageSince_;
};

// Beats are this far apart where nothing changes.
inline constexpr std::chrono::milliseconds kWatcherHeartbeatInterval{ 400 };

} // namespace filbertbeam
