#pragma once

#include "balancing/PeerHost.h"
#include "base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// Ranks hosts as owners of shards by rendezvous hashing, so that hosts with the
// same host list agree without communicating, and skips hosts that do not
// respond. Hosts with more processor capacity own more shards. Shards are
// identified by service and index, so existing shards keep their owners when
// the number of shards changes.
class OwnerRanking
{
public:
  OwnerRanking(std::string aSelf, double aProcessorCores);

  // Returns the hosts that are new or have a new address.
  std::vector<PeerHost> SetHosts(std::vector<PeerHost> aHosts);
  // May include this host.
  const std::vector<PeerHost>& Hosts() const { return hosts_; }
  // True once a host list was set.
  bool HasHostList() const { return hasHostList_; }

  // Records a message from a peer, which shows that the peer is alive and has
  // this address. Returns true if the ranking may have changed. Without
  // aProcessorCores, the capacity of a listed host stays as it is.
  bool OnPeerMessage(const std::string& aHost,
                     const std::string& aDomain,
                     const Endpoint& aAddress,
                     double aProcessorCores = 0);
  void OnResponse(const std::string& aHost);
  void OnMissedResponse(const std::string& aHost, Instant aNow);

  // Returns null if this host is the owner.
  const PeerHost* OwnerOf(std::string_view aService,
                          std::uint32_t aShard,
                          Instant aNow);
  // Number of hosts that rank before this one as owners, including those that
  // are down.
  std::size_t RankOfSelf(std::string_view aService, std::uint32_t aShard);

private:
  struct PeerState
  {
    int missedResponses = 0;
    // The host is not queried before this time.
    Instant downUntil;
  };

  // A host that ranks before this one for a shard.
  struct PrecedingHost
  {
    double distance = 0;
    // Index in hosts_.
    std::uint32_t host = 0;
  };

  // The ranking of one shard, as far as this host needs it.
  struct ShardRanking
  {
    std::uint64_t key = 0;
    double ownDistance = 0;
    // In order of rank.
    std::vector<PrecedingHost> preceding;
  };

  const ShardRanking& FindRanking(std::string_view aService,
                                  std::uint32_t aShard);
  // Updates the rankings that are known for a new host or a new capacity.
  void RankAgain(std::uint32_t aHost);
  // Inserts the host into aRanking if it ranks before this one.
  void Rank(std::uint32_t aHost, ShardRanking& aRanking) const;
  bool IsDown(const std::string& aHost, Instant aNow) const;

  const std::string self_;
  const double processorCores_;
  std::vector<PeerHost> hosts_;
  // Indexes in hosts_ by name.
  std::unordered_map<std::string, std::uint32_t> indexes_;
  bool hasHostList_ = false;
  // Keyed by the hash of service and shard; cleared by a new host list.
  std::unordered_map<std::uint64_t, ShardRanking> rankings_;
  // Hosts that have not responded to recent queries, by name.
  std::map<std::string, PeerState> peers_;
};

} // namespace filbertbeam
