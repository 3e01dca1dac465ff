#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "configuration/Configuration.h"
#include "membership/MembershipView.h"
#include "relay/RelayLoad.h"

#include <map>
#include <set>
#include <span>
#include <string>

namespace filbertbeam {

// Chooses the shard of a service that is expected to start a request first,
// by the distance to its owner and the load that the owner last reported.
class ShardSelector
{
public:
  // aClock and aRandom have to outlive the selector.
  ShardSelector(const Clock& aClock, Random& aRandom);

  // Returns null if every shard is excluded.
  const Shard* Choose(std::span<const Shard> aShards,
                      const Member& aSelf,
                      const std::set<std::string, std::less<>>& aExcluded);

  // Records that a request was relayed to the shard.
  void OnRelayed(std::string_view aShard);
  // Records that a relayed request got its response, failed or was cancelled.
  void OnCompleted(std::string_view aShard);

  // Records that the owner of the shard was unreachable or did not accept the
  // request.
  void OnOwnerFailed(std::string_view aShard);

  // Records the load that the owner reported with a response.
  void OnLoadReport(std::string_view aShard, const RelayLoad& aLoad);

private:
  struct ShardState
  {
    RelayLoad load;
    Instant reportedAt;
    bool hasReport = false;
    // Number of requests relayed since the last load report.
    int relayedSinceReport = 0;
    int pendingRequests = 0;
    Instant ownerFailedAt;
    bool hasOwnerFailed = false;
  };

  // Returns the expected time until a request starts, including the round trip
  // to the owner.
  Duration ExpectedDelay(const Shard& aShard, const Member& aSelf) const;
  Duration ExpectedWait(const Shard& aShard, const ShardState& aState) const;

  const Clock& clock_;
  Random& random_;
  std::map<std::string, ShardState, std::less<>> shardStates_;
};

} // namespace filbertbeam
