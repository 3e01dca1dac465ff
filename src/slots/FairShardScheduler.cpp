#include "slots/FairShardScheduler.h"

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

using namespace std::chrono_literals;

// Maximum waiting times in the queue; the deadline of a request limits its wait
// as well.
constexpr Duration kLongestInContractWait = 1s;
constexpr Duration kLongestExcessWait = 50ms;

// A customer may have as many requests queued as its promise allows in this
// time.
constexpr double kQueueLimitSeconds = 1;
constexpr std::size_t kMinimumQueueLimit = 4;

// The latency of a response whose body is still arriving this long after its
// head is recorded without waiting for the end. Bodies of sheds are small, so
// that the response cannot be one, and a caller that reads slowly must not
// delay the sample any longer.
constexpr Duration kStreamingGrace = 1s;
// Interval of checks while there are too few samples of the peers to compute
// the slow threshold.
constexpr Duration kUnknownThresholdInterval = 1s;

// A suspect server gets a request at least this often, so that its recovery is
// detected.
constexpr Duration kSuspectProbeInterval = 1s;

// One slot in this many is kept free of excess requests.
constexpr int kSlotsPerReservedSlot = 8;

std::size_t
QueueLimit(double aPromise)
{
  const double limit = std::ceil(aPromise * kQueueLimitSeconds);
  return std::max(kMinimumQueueLimit,
                  static_cast<std::size_t>(std::max(limit, 0.0)));
}

} // namespace

FairShardScheduler::FairShardScheduler(const Service& aService,
                                       std::uint64_t aSeed)
  : random_(aSeed)
  , detector_(aService.prefer)
  , policy_(aService.floor)
{
}

void
FairShardScheduler::SetBackendServers(
  const Service& aService,
  std::span<const BackendServer* const> aBackendServers,
  Instant aNow)
{
  for (auto& [name, server] : servers_) {
    server.isRemoved = true;
  }
  std::vector<EjectionPolicy::ConfiguredServer> servers;
  for (const BackendServer* configured : aBackendServers) {
    const auto [found, isNew] = servers_.try_emplace(configured->name);
    Server& server = found->second;
    if (isNew) {
      server.id = nextServerId_++;
      server.name = configured->name;
      server.state = ServerState::Leaving;
    }
    server.slots.SetSlots(configured->slots);
    server.isRemoved = false;
    servers.push_back(
      { server.id, server.slots.Slots(), configured->isLeaving });
  }
  detector_.SetPreference(aService.prefer);
  policy_.SetConfiguredServers(aService.floor, servers, aNow);
  UpdateStates("readmitted to keep the floor");
  std::erase_if(servers_, [](const auto& aItem) {
    return aItem.second.isRemoved && aItem.second.slots.Used() == 0;
  });
}

std::optional<RefusalReason>
FairShardScheduler::Submit(const ShardRequest& aRequest, Instant aNow)
{
  if (aRequest.deadline <= aNow) {
    return RefusalReason::DeadlinePassed;
  }
  if (!HasBackendServer() || !CanServe(aRequest)) {
    return RefusalReason::NoBackendServer;
  }
  // Each class has its own limit, so that the excess requests of a customer
  // cannot displace its in-contract ones.
  FairQueue& queue = QueueOf(aRequest.requestClass);
  if (queue.SizeOf(aRequest.customer) >= QueueLimit(aRequest.promise)) {
    return RefusalReason::QueueFull;
  }
  const bool isExcess = aRequest.requestClass == RequestClass::Excess;
  const Instant longest =
    aNow + (isExcess ? kLongestExcessWait : kLongestInContractWait);
  QueuedRequest queued;
  queued.requestClass = aRequest.requestClass;
  queued.expiry = std::min(longest, aRequest.deadline);
  if (aRequest.deadline <= longest) {
    queued.reason = RefusalReason::DeadlinePassed;
  } else {
    queued.reason =
      isExcess ? RefusalReason::NoSpareSlot : RefusalReason::WaitExceeded;
  }
  queue.Push(
    aRequest.id, aRequest.customer, aRequest.promise, aRequest.isIdempotent);
  expiries_.emplace(queued.expiry, aRequest.id);
  queued_.emplace(aRequest.id, queued);
  return std::nullopt;
}

bool
FairShardScheduler::Cancel(std::uint64_t aRequestId)
{
  const auto found = queued_.find(aRequestId);
  if (found == queued_.end()) {
    return std::erase_if(refused_, [aRequestId](const Refusal& aRefusal) {
             return aRefusal.requestId == aRequestId;
           }) > 0;
  }
  QueueOf(found->second.requestClass).Remove(aRequestId);
  EraseQueued(aRequestId);
  return true;
}

std::vector<Assignment>
FairShardScheduler::Dispatch(Instant aNow)
{
  // A request past its expiry is never sent, even when Expire is called late.
  RefuseExpired(aNow);
  policy_.Advance(aNow);
  UpdateStates("");
  std::vector<Assignment> assignments;
  // Trials are assigned first: as long as healthy servers have free slots, no
  // request would be left for a trial.
  while (Server* const server = PickTrialServer(aNow)) {
    std::optional<std::uint64_t> id = inContract_.PopIdempotent();
    if (!id) {
      id = excess_.PopIdempotent();
    }
    if (!id) {
      break;
    }
    Assign(*id, *server, true, aNow, assignments);
  }
  while (!inContract_.IsEmpty()) {
    Server* const server = PickServer(aNow);
    if (server == nullptr) {
      return assignments;
    }
    Assign(*inContract_.Pop(), *server, false, aNow, assignments);
  }
  while (!excess_.IsEmpty()) {
    const ShardLoad load = Load();
    Server* const server = PickServer(aNow);
    if (load.freeSlots <= load.slots / kSlotsPerReservedSlot ||
        server == nullptr) {
      break;
    }
    Assign(*excess_.Pop(), *server, false, aNow, assignments);
  }
  return assignments;
}

std::vector<Refusal>
FairShardScheduler::Expire(Instant aNow)
{
  policy_.Advance(aNow);
  UpdateStates("");
  RunChecks(aNow);
  RefuseExpired(aNow);
  if (!HasBackendServer()) {
    while (!queued_.empty()) {
      const std::uint64_t id = queued_.begin()->first;
      QueueOf(queued_.begin()->second.requestClass).Remove(id);
      refused_.push_back({ id, RefusalReason::NoBackendServer });
      EraseQueued(id);
    }
  }
  return std::exchange(refused_, {});
}

std::optional<Instant>
FairShardScheduler::NextEvent(Instant aNow) const
{
  if (!refused_.empty() || (!queued_.empty() && !HasBackendServer())) {
    return aNow;
  }
  std::optional<Instant> next = policy_.NextEvent(aNow);
  const auto consider = [&next](Instant aInstant) {
    next = next ? std::min(*next, aInstant) : aInstant;
  };
  if (!expiries_.empty()) {
    consider(expiries_.begin()->first);
  }
  if (!checks_.empty()) {
    consider(checks_.begin()->first);
  }
  if (!queued_.empty()) {
    for (const auto& [name, server] : servers_) {
      if (server.shedPause.IsActive(aNow)) {
        consider(server.shedPause.Until());
      }
    }
  }
  return next;
}

void
FairShardScheduler::OnRequestSent(std::uint64_t aRequestId, Instant aNow)
{
  const auto found = running_.find(aRequestId);
  if (found == running_.end() || found->second.sentAt) {
    return;
  }
  Attempt& attempt = found->second;
  attempt.sentAt = aNow;
  if (!IsCurrent(attempt)) {
    return;
  }
  const std::optional<Duration> threshold =
    detector_.SlowThreshold(attempt.server->id, aNow);
  ScheduleCheck(
    aRequestId, attempt, aNow + threshold.value_or(kUnknownThresholdInterval));
}

void
FairShardScheduler::OnResponseHead(std::uint64_t aRequestId, Instant aNow)
{
  const auto found = running_.find(aRequestId);
  if (found == running_.end() || found->second.headAt) {
    return;
  }
  Attempt& attempt = found->second;
  attempt.headAt = aNow;
  attempt.server->lastResponseAt = aNow;
  if (attempt.sentAt && IsCurrent(attempt) && !attempt.isTrial) {
    ScheduleCheck(aRequestId, attempt, aNow + kStreamingGrace);
  } else {
    ScheduleCheck(aRequestId, attempt, std::nullopt);
  }
}

void
FairShardScheduler::Complete(std::uint64_t aRequestId,
                             AttemptResult aResult,
                             Instant aNow)
{
  const auto found = running_.find(aRequestId);
  if (found == running_.end()) {
    return;
  }
  Attempt attempt = found->second;
  ScheduleCheck(aRequestId, attempt, std::nullopt);
  running_.erase(found);
  Server& server = *attempt.server;
  server.slots.Release();
  if (aResult == AttemptResult::Shed) {
    server.shedPause.OnShed(aNow);
  } else if (aResult == AttemptResult::Success) {
    server.shedPause.OnServed();
  }
  if (attempt.isTrial) {
    server.trialsRunning -= 1;
  }
  if (IsCurrent(attempt)) {
    if (attempt.isTrial) {
      RecordTrialResult(attempt, aResult, aNow);
    } else if (aResult == AttemptResult::Success ||
               aResult == AttemptResult::Failure) {
      // Failures are not recorded as latencies: a server that fails fast would
      // make its peers look slow.
      if (aResult == AttemptResult::Success) {
        RecordLatency(attempt, aNow);
      }
      detector_.OnOutcome(server.id, aResult == AttemptResult::Failure, aNow);
      EvaluateServer(server, aNow);
    }
  }
  if (server.isRemoved && server.slots.Used() == 0) {
    servers_.erase(std::string(server.name));
  }
}

ShardLoad
FairShardScheduler::Load() const
{
  ShardLoad load;
  for (const auto& [name, server] : servers_) {
    if (AcceptsWork(server)) {
      load.slots += server.slots.Slots();
      load.freeSlots += server.slots.Free();
    }
  }
  load.queued = static_cast<int>(queued_.size());
  return load;
}

std::vector<ServerReport>
FairShardScheduler::Report(Instant aNow) const
{
  std::vector<ServerReport> reports;
  for (const auto& [name, server] : servers_) {
    ServerReport report;
    report.backendServer = name;
    report.state = server.isRemoved ? ServerState::Leaving : server.state;
    report.slots = server.slots.Slots();
    report.usedSlots = server.slots.Used();
    const OutlierDetector::Scores scores = detector_.ScoresOf(server.id);
    report.latencyScore = scores.latency;
    report.failureScore = scores.failure;
    report.bound = detector_.Bound();
    report.recentEjections = policy_.RecentEjections(server.id, aNow);
    report.lastReason = server.lastReason;
    reports.push_back(std::move(report));
  }
  return reports;
}

bool
FairShardScheduler::AcceptsWork(const Server& aServer) const
{
  return !aServer.isRemoved && (aServer.state == ServerState::Healthy ||
                                aServer.state == ServerState::Cold);
}

bool
FairShardScheduler::IsLastChoice(const Server& aServer, Instant aNow) const
{
  return aServer.isSuspect &&
         (aServer.slots.Used() > 0 ||
          aNow < aServer.lastAssignedAt + kSuspectProbeInterval);
}

bool
FairShardScheduler::HasBackendServer() const
{
  return std::any_of(servers_.begin(), servers_.end(), [](const auto& aItem) {
    return !aItem.second.isRemoved &&
           aItem.second.state != ServerState::Leaving &&
           aItem.second.slots.Slots() > 0;
  });
}

bool
FairShardScheduler::CanServe(const ShardRequest& aRequest) const
{
  // The floor of a small shard may allow all its servers to be ejected. Another
  // shard then serves the request at once instead of letting it wait here,
  // unless a trial can run it.
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& aItem) {
    const Server& server = aItem.second;
    return AcceptsWork(server) ||
           (aRequest.isIdempotent && server.state == ServerState::Trial);
  });
}

FairQueue&
FairShardScheduler::QueueOf(RequestClass aClass)
{
  return aClass == RequestClass::Excess ? excess_ : inContract_;
}

FairShardScheduler::Server*
FairShardScheduler::PickServer(Instant aNow)
{
  // Picks the server with the smallest share of its slots in use, and at random
  // among equals, so that a shard with little traffic does not send all
  // requests to the same server.
  Server* best = nullptr;
  std::pair<bool, double> bestOrder;
  std::uint64_t ties = 0;
  for (auto& [name, server] : servers_) {
    if (!AcceptsWork(server) || server.shedPause.IsActive(aNow) ||
        server.slots.Free(policy_.ConcurrencyLimit(server.id, aNow)) == 0) {
      continue;
    }
    const std::pair<bool, double> order(
      IsLastChoice(server, aNow),
      static_cast<double>(server.slots.Used()) / server.slots.Slots());
    if (best == nullptr || order < bestOrder) {
      best = &server;
      bestOrder = order;
      ties = 1;
    } else if (order == bestOrder && random_.Below(++ties) == 0) {
      best = &server;
    }
  }
  return best;
}

FairShardScheduler::Server*
FairShardScheduler::PickTrialServer(Instant aNow)
{
  for (auto& [name, server] : servers_) {
    if (!server.isRemoved && server.state == ServerState::Trial &&
        server.trialsRunning == 0 && server.slots.Free() > 0 &&
        !server.shedPause.IsActive(aNow)) {
      return &server;
    }
  }
  return nullptr;
}

void
FairShardScheduler::Assign(std::uint64_t aRequestId,
                           Server& aServer,
                           bool aIsTrial,
                           Instant aNow,
                           std::vector<Assignment>& aAssignments)
{
  EraseQueued(aRequestId);
  aServer.slots.TryTake();
  aServer.lastAssignedAt = aNow;
  if (aIsTrial) {
    aServer.trialsRunning += 1;
  }
  Attempt& attempt = running_[aRequestId];
  attempt.server = &aServer;
  attempt.epoch = aServer.epoch;
  attempt.isTrial = aIsTrial;
  aAssignments.push_back({ aRequestId, aServer.name, aIsTrial });
}

void
FairShardScheduler::RefuseExpired(Instant aNow)
{
  while (!expiries_.empty() && expiries_.begin()->first <= aNow) {
    const std::uint64_t id = expiries_.begin()->second;
    const QueuedRequest& queued = queued_.at(id);
    QueueOf(queued.requestClass).Remove(id);
    refused_.push_back({ id, queued.reason });
    EraseQueued(id);
  }
}

void
FairShardScheduler::EraseQueued(std::uint64_t aRequestId)
{
  const auto found = queued_.find(aRequestId);
  expiries_.erase({ found->second.expiry, aRequestId });
  queued_.erase(found);
}

void
FairShardScheduler::UpdateStates(std::string_view aReason)
{
  for (auto& [name, server] : servers_) {
    const ServerState state = policy_.State(server.id);
    if (state == server.state) {
      continue;
    }
    const bool wasEjected = server.state == ServerState::Ejected ||
                            server.state == ServerState::Trial;
    if (server.state == ServerState::Healthy) {
      detector_.Remove(server.id);
    }
    if (state == ServerState::Healthy) {
      detector_.Add(server.id);
      if (wasEjected && !aReason.empty()) {
        server.lastReason = aReason;
      }
    }
    server.state = state;
    server.isSuspect = false;
    server.epoch += 1;
    stateChanges_ += 1;
  }
}

void
FairShardScheduler::EvaluateServer(Server& aServer, Instant aNow)
{
  const std::optional<OutlierDetector::Finding> finding =
    detector_.Evaluate(aServer.id, aNow);
  // If the floor forbids the ejection, the server's slots remain in use but are
  // used last; small shards often cannot eject any server.
  aServer.isSuspect = finding.has_value();
  if (!finding) {
    return;
  }
  aServer.lastReason = finding->reason;
  if (policy_.TryEject(aServer.id, finding->severity, aNow)) {
    UpdateStates("readmitted in favour of a worse backend server");
  }
}

bool
FairShardScheduler::IsCurrent(const Attempt& aAttempt) const
{
  const Server& server = *aAttempt.server;
  if (server.isRemoved || aAttempt.epoch != server.epoch) {
    return false;
  }
  return server.state == ServerState::Healthy ||
         (aAttempt.isTrial && server.state == ServerState::Trial);
}

void
FairShardScheduler::ScheduleCheck(std::uint64_t aRequestId,
                                  Attempt& aAttempt,
                                  std::optional<Instant> aAt)
{
  if (aAttempt.nextCheck) {
    checks_.erase({ *aAttempt.nextCheck, aRequestId });
  }
  aAttempt.nextCheck = aAt;
  if (aAt) {
    checks_.emplace(*aAt, aRequestId);
  }
}

void
FairShardScheduler::RunCheck(std::uint64_t aRequestId, Instant aNow)
{
  Attempt& attempt = running_.at(aRequestId);
  ScheduleCheck(aRequestId, attempt, std::nullopt);
  if (!IsCurrent(attempt)) {
    return;
  }
  Server& server = *attempt.server;
  if (attempt.headAt) {
    RecordLatency(attempt, aNow);
    EvaluateServer(server, aNow);
    return;
  }
  const std::optional<Duration> threshold =
    detector_.SlowThreshold(server.id, aNow);
  if (!threshold) {
    ScheduleCheck(aRequestId, attempt, aNow + kUnknownThresholdInterval);
    return;
  }
  const auto due = [&] {
    return *attempt.sentAt + *threshold * attempt.thresholdFactor;
  };
  if (aNow < due()) {
    ScheduleCheck(aRequestId, attempt, due());
    return;
  }
  if (attempt.isTrial) {
    RecordTrialResult(attempt, AttemptResult::Failure, aNow);
    return;
  }
  // An unanswered request is sampled again as its age grows, since a server
  // whose slots all hang yields no other samples. While the server responds to
  // other requests, their samples are more informative, and a single very long
  // request must not count repeatedly.
  const bool counts = attempt.thresholdsPassed == 0 || !server.lastResponseAt ||
                      *server.lastResponseAt <= attempt.lastThresholdPassedAt;
  attempt.thresholdsPassed += 1;
  attempt.thresholdFactor *= detector_.UnansweredAgeFactor();
  attempt.lastThresholdPassedAt = aNow;
  if (counts) {
    detector_.OnUnanswered(server.id, aNow - *attempt.sentAt, aNow);
    attempt.isSampled = true;
    attempt.unansweredSamples += 1;
  }
  if (attempt.unansweredSamples < detector_.MaxUnansweredSamples()) {
    ScheduleCheck(aRequestId, attempt, due());
  }
  EvaluateServer(server, aNow);
}

void
FairShardScheduler::RunChecks(Instant aNow)
{
  while (!checks_.empty() && checks_.begin()->first <= aNow) {
    RunCheck(checks_.begin()->second, aNow);
  }
}

void
FairShardScheduler::RecordLatency(Attempt& aAttempt, Instant aNow)
{
  if (aAttempt.isSampled || !aAttempt.sentAt || !aAttempt.headAt) {
    return;
  }
  aAttempt.isSampled = true;
  detector_.OnLatency(
    aAttempt.server->id, *aAttempt.headAt - *aAttempt.sentAt, aNow);
}

void
FairShardScheduler::RecordTrialResult(Attempt& aAttempt,
                                      AttemptResult aResult,
                                      Instant aNow)
{
  if (aAttempt.isSampled || aResult == AttemptResult::Shed ||
      aResult == AttemptResult::Cancelled) {
    return;
  }
  aAttempt.isSampled = true;
  const Server& server = *aAttempt.server;
  double excess = 0;
  bool hasPassed = aResult == AttemptResult::Success;
  if (hasPassed && aAttempt.sentAt && aAttempt.headAt) {
    const Duration latency = *aAttempt.headAt - *aAttempt.sentAt;
    const std::optional<Duration> threshold =
      detector_.SlowThreshold(server.id, aNow);
    excess = detector_.Excess(server.id, latency, aNow);
    hasPassed = !threshold || latency <= *threshold;
  }
  policy_.OnTrialResult(server.id, hasPassed, excess, aNow);
  UpdateStates("readmitted after good trials");
}

} // namespace filbertbeam
