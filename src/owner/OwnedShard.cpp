#include "owner/OwnedShard.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

OwnedShard::OwnedShard(const Service& aService,
                       const Clock& aClock,
                       EventSink& aEvents,
                       std::uint64_t aSeed)
  : clock_(aClock)
  , events_(aEvents)
  , scheduler_(ShardScheduler::Create(aService, aSeed))
{
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  timer_.callOnTimeout([this] { ProcessQueue(); });
}

void
OwnedShard::Configure(const Service& aService,
                      const Shard& aShard,
                      const std::set<std::string>& aLeavingAddresses)
{
  backendServers_.clear();
  std::vector<const BackendServer*> pointers;
  for (const BackendServer* configured : aShard.backendServers) {
    BackendServer& server = backendServers_[configured->name];
    server = *configured;
    server.isLeaving =
      server.isLeaving || aLeavingAddresses.contains(server.address);
    pointers.push_back(&server);
  }
  Service service = aService;
  service.floor = aShard.floor;
  scheduler_->SetBackendServers(service, pointers, clock_.Now());
  ScheduleProcessing();
}

void
OwnedShard::Submit(const ShardRequest& aRequest,
                   const std::shared_ptr<ScheduledRequest>& aScheduled)
{
  const std::optional<RefusalReason> refusal =
    scheduler_->Submit(aRequest, clock_.Now());
  if (refusal) {
    aScheduled->OnRefused(*refusal);
    return;
  }
  queued_.emplace(aRequest.id, aScheduled);
  ScheduleProcessing();
}

void
OwnedShard::Cancel(std::uint64_t aRequestId)
{
  scheduler_->Cancel(aRequestId);
  queued_.erase(aRequestId);
  ScheduleProcessing();
}

void
OwnedShard::OnRequestSent(std::uint64_t aRequestId)
{
  scheduler_->OnRequestSent(aRequestId, clock_.Now());
}

void
OwnedShard::OnResponseHead(std::uint64_t aRequestId)
{
  scheduler_->OnResponseHead(aRequestId, clock_.Now());
}

void
OwnedShard::Complete(std::uint64_t aRequestId, AttemptResult aResult)
{
  scheduler_->Complete(aRequestId, aResult, clock_.Now());
  ScheduleProcessing();
}

std::vector<ServerReport>
OwnedShard::Report() const
{
  return scheduler_->Report(clock_.Now());
}

void
OwnedShard::ScheduleProcessing()
{
  // Decisions are made from the event loop, so that a session is never called
  // back from within its own call to the shard.
  timer_.start(std::chrono::milliseconds(0));
}

void
OwnedShard::ProcessQueue()
{
  const Instant now = clock_.Now();
  for (const Refusal& refusal : scheduler_->Expire(now)) {
    const auto node = queued_.extract(refusal.requestId);
    if (!node.empty()) {
      node.mapped()->OnRefused(refusal.reason);
    }
  }
  for (const Assignment& assignment : scheduler_->Dispatch(now)) {
    const auto node = queued_.extract(assignment.requestId);
    const auto server = backendServers_.find(assignment.backendServer);
    if (node.empty() || server == backendServers_.end()) {
      scheduler_->Complete(assignment.requestId, AttemptResult::Cancelled, now);
      continue;
    }
    node.mapped()->OnAssigned(server->second, assignment.isTrial);
  }
  ReportStateChanges();
  const std::optional<Instant> next = scheduler_->NextEvent(now);
  if (!next || timer_.isActive()) {
    return;
  }
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*next - now);
  timer_.start(std::max(wait, std::chrono::milliseconds(1)));
}

void
OwnedShard::ReportStateChanges()
{
  if (scheduler_->StateChanges() == reportedChangeCount_) {
    return;
  }
  reportedChangeCount_ = scheduler_->StateChanges();
  for (const ServerReport& report : scheduler_->Report(clock_.Now())) {
    const auto [reported, isNew] =
      reportedStates_.try_emplace(report.backendServer, report.state);
    if (isNew || reported->second == report.state) {
      continue;
    }
    reported->second = report.state;
    LogEvent(LogLevel::Info,
             "backend_server_state",
             { { "backend_server", report.backendServer },
               { "state", ServerStateName(report.state) },
               { "latency_score", report.latencyScore },
               { "failure_score", report.failureScore },
               { "bound", report.bound },
               { "reason", report.lastReason } });
    events_.Record(EventSubject::BackendServer,
                   report.backendServer,
                   fmt::format("{}: {}",
                               ServerStateName(report.state),
                               report.lastReason.empty() ? "no reason recorded"
                                                         : report.lastReason));
  }
}

} // namespace filbertbeam
