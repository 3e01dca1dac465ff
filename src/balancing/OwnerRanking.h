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

// Ranks the hosts as owners by rendezvous hashing, so that hosts that know the
// same hosts agree without asking, and passes over those that do not answer.
// Hosts with more processor own more shards. Shards are named by their service
// and index, so they keep their owners when their number changes.
class OwnerRanking
{
public:
  OwnerRanking(std::string aSelf, double aProcessorCores);

  // Returns the hosts that are new, or have a new address.
  std::vector<PeerHost> SetHosts(std::vector<PeerHost> aHosts);
  // This host may be among them.
  const std::vector<PeerHost>& Hosts() const { return hosts_; }
  // True once a list of hosts was set.
  bool HasHostList() const { return hasHostList_; }

  // A message of a peer shows that it is alive, and where. Returns true when
  // the ranks may be others now. Without cores, they are as they were.
  bool OnPeerMessage(const std::string& aHost,
                     const std::string& aDomain,
                     const Endpoint& aAddress,
                     double aProcessorCores = 0);
  void OnResponse(const std::string& aHost);
  void OnMissedResponse(const std::string& aHost, Instant aNow);

  // Null when this host is the owner.
  const PeerHost* OwnerOf(std::string_view aService,
                          std::uint32_t aShard,
                          Instant aNow);
  // How many hosts come before this one as owners. Those that are passed over
  // count.
  std::size_t RankOfSelf(std::string_view aService, std::uint32_t aShard);

private:
  struct PeerState
  {
    int missedResponses = 0;
    // Asked again only after this.
    Instant downUntil;
  };

  // Places in hosts_ of those that come before this host, the first owner
  // first.
  using PrecedingHosts = std::vector<std::uint32_t>;

  const PrecedingHosts& FindPrecedingHosts(std::string_view aService,
                                           std::uint32_t aShard);
  bool IsDown(const std::string& aHost, Instant aNow) const;

  const std::string self_;
  const double processorCores_;
  std::vector<PeerHost> hosts_;
  bool hasHostList_ = false;
  // By the hash of service and shard; empty after each change of the hosts.
  std::unordered_map<std::uint64_t, PrecedingHosts> precedingHosts_;
  // Of hosts that missed answers.
  std::map<std::string, PeerState> peers_;
};

} // namespace filbertbeam
