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

// Chooses the shard of a service that is likely to start a request first, by
// distance and by the load that its owner last reported.
class ShardSelector
{
public:
  // Both have to outlive the selector.
  ShardSelector(const Clock& aClock, Random& aRandom);

  // Null when every shard is excluded.
  const Shard* Choose(std::span<const Shard> aShards,
                      const Member& aSelf,
                      const std::set<std::string, std::less<>>& aExcluded);

  // A request was relayed to the shard, and later answered or given up.
  void OnRelayed(std::string_view aShard);
  void OnCompleted(std::string_view aShard);

  // The owner of the shard could not be reached or did not take the request.
  void OnOwnerFailed(std::string_view aShard);

  // What the owner reported with a response.
  void OnLoadReport(std::string_view aShard, const RelayLoad& aLoad);

private:
  struct ShardState
  {
    RelayLoad load;
    Instant reportedAt;
    bool hasReport = false;
    // Requests relayed since the report.
    int relayedSinceReport = 0;
    int pendingRequests = 0;
    Instant ownerFailedAt;
    bool hasOwnerFailed = false;
  };

  // Expected time until a request starts.
  Duration ExpectedDelay(const Shard& aShard, const Member& aSelf) const;
  Duration ExpectedWait(const Shard& aShard, const ShardState& aState) const;

  const Clock& clock_;
  Random& random_;
  std::map<std::string, ShardState, std::less<>> shardStates_;
};

} // namespace filbertbeam
