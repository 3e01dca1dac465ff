#pragma once

#include "base/Clock.h"
#include "base/EventSink.h"
#include "owner/ScheduledRequest.h"

#include <QTimer>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace filbertbeam {

// One shard on its owner: drives the scheduler's decisions from the event
// loop and tells each waiting request what was decided for it.
class OwnedShard
{
public:
  // aClock and aEvents have to outlive the shard.
  OwnedShard(const Service& aService,
             const Clock& aClock,
             EventSink& aEvents,
             std::uint64_t aSeed);

  // Backend servers at one of aLeavingAddresses count as leaving even when
  // the configuration does not say so.
  void Configure(const Service& aService,
                 const Shard& aShard,
                 const std::set<std::string>& aLeavingAddresses);

  // Queues the request; OnRefused may come during this call.
  void Submit(const ShardRequest& aRequest,
              const std::shared_ptr<ScheduledRequest>& aScheduled);
  // Takes a request out of the queue; no event follows.
  void Cancel(std::uint64_t aRequestId);

  void OnRequestSent(std::uint64_t aRequestId);
  void OnResponseHead(std::uint64_t aRequestId);
  void Complete(std::uint64_t aRequestId, AttemptResult aResult);

  ShardLoad Load() const { return scheduler_->Load(); }
  std::vector<ServerReport> Report() const;

private:
  void ScheduleProcessing();
  // Assigns and refuses whatever is due, and arms the timer for the next time.
  void ProcessQueue();
  void ReportStateChanges();

  const Clock& clock_;
  EventSink& events_;
  std::unique_ptr<ShardScheduler> scheduler_;
  std::map<std::string, BackendServer, std::less<>> backendServers_;
  std::unordered_map<std::uint64_t, std::shared_ptr<ScheduledRequest>> queued_;
  std::map<std::string, ServerState, std::less<>> reportedStates_;
  // Of the scheduler's count of state changes.
  std::uint64_t reportedChangeCount_ = 0;
  QTimer timer_;
};

} // namespace filbertbeam
