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

// A shard on its owner: runs the scheduler from the event loop and reports each
// decision to the request that it concerns.
class OwnedShard
{
public:
  // aClock and aEvents have to outlive the shard.
  OwnedShard(const Service& aService,
             const Clock& aClock,
             EventSink& aEvents,
             std::uint64_t aSeed);

  // Backend servers at one of aLeavingAddresses are treated as leaving even if
  // the configuration does not mark them.
  void Configure(const Service& aService,
                 const Shard& aShard,
                 const std::set<std::string>& aLeavingAddresses);

  // Queues the request. May call OnRefused before it returns.
  void Submit(const ShardRequest& aRequest,
              const std::shared_ptr<ScheduledRequest>& aScheduled);
  // Removes a request from the queue without calling it back.
  void Cancel(std::uint64_t aRequestId);

  void OnRequestSent(std::uint64_t aRequestId);
  void OnResponseHead(std::uint64_t aRequestId);
  void Complete(std::uint64_t aRequestId, AttemptResult aResult);

  ShardLoad Load() const { return scheduler_->Load(); }
  std::vector<ServerReport> Report() const;

private:
  void ScheduleProcessing();
  // Assigns and refuses the requests that are due, and starts the timer for the
  // next ones.
  void ProcessQueue();
  void ReportStateChanges();

  const Clock& clock_;
  EventSink& events_;
  std::unique_ptr<ShardScheduler> scheduler_;
  std::map<std::string, BackendServer, std::less<>> backendServers_;
  std::unordered_map<std::uint64_t, std::shared_ptr<ScheduledRequest>> queued_;
  std::map<std::string, ServerState, std::less<>> reportedStates_;
  // The scheduler's count of state changes at the last report.
  std::uint64_t reportedChangeCount_ = 0;
  QTimer timer_;
};

} // namespace filbertbeam
