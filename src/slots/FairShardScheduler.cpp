#include "slots/FairShardScheduler.h"

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

using namespace std::chrono_literals;

// Longest waits in the queue; both are also bounded by the deadline.
constexpr Duration kLongestInContractWait = 1s;
constexpr Duration kLongestExcessWait = 50ms;

// Places of one customer in the queue: this much of its promise.
constexpr double kQueuePlacesSeconds = 1;
constexpr std::size_t kMinimumQueuePlaces = 4;

// One slot in this many is kept free of excess requests.
constexpr int kSlotsPerReservedSlot = 8;

std::size_t
QueuePlaces(double aPromise)
{
  const double places = std::ceil(aPromise * kQueuePlacesSeconds);
  return std::max(kMinimumQueuePlaces,
                  static_cast<std::size_t>(std::max(places, 0.0)));
}

} // namespace

FairShardScheduler::FairShardScheduler(const Service& /*aService*/,
                                       std::uint64_t aSeed)
  : random_(aSeed)
{
}

void
FairShardScheduler::SetBackendServers(
  const Service& /*aService*/,
  std::span<const BackendServer* const> aBackendServers,
  Instant /*aNow*/)
{
  for (auto& [name, server] : servers_) {
    server.isRemoved = true;
  }
  for (const BackendServer* configured : aBackendServers) {
    Server& server = servers_[configured->name];
    server.name = configured->name;
    server.slots.SetSlots(configured->slots);
    server.state =
      configured->isLeaving ? ServerState::Leaving : ServerState::Healthy;
    server.isRemoved = false;
  }
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
  if (!HasBackendServer()) {
    return RefusalReason::NoBackendServer;
  }
  // Counted by class, so that a customer's excess requests cannot take the
  // places of its in-contract ones.
  FairQueue& queue = QueueOf(aRequest.requestClass);
  if (queue.SizeOf(aRequest.customer) >= QueuePlaces(aRequest.promise)) {
    return RefusalReason::QueueFull;
  }
  const bool isExcess = aRequest.requestClass == RequestClass::Excess;
  const Instant longest =
    aNow + (isExcess ? kLongestExcessWait : kLongestInContractWait);
  Queued queued;
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
  Forget(aRequestId);
  return true;
}

std::vector<Assignment>
FairShardScheduler::Dispatch(Instant aNow)
{
  // A request past its expiry is never sent, even when Expire is called late.
  RefuseExpired(aNow);
  std::vector<Assignment> assignments;
  const auto assign = [&](FairQueue& aQueue) {
    Server* const server = PickServer();
    const std::optional<std::uint64_t> id =
      server == nullptr ? std::nullopt : aQueue.Pop();
    if (!id) {
      return false;
    }
    Forget(*id);
    server->slots.TryTake();
    running_[*id].server = server;
    assignments.push_back({ *id, server->name });
    return true;
  };
  while (!inContract_.IsEmpty() && assign(inContract_)) {
  }
  while (inContract_.IsEmpty() && !excess_.IsEmpty()) {
    const ShardLoad load = Load();
    if (load.freeSlots <= load.slots / kSlotsPerReservedSlot ||
        !assign(excess_)) {
      break;
    }
  }
  return assignments;
}

std::vector<Refusal>
FairShardScheduler::Expire(Instant aNow)
{
  RefuseExpired(aNow);
  if (!HasBackendServer()) {
    while (!queued_.empty()) {
      const std::uint64_t id = queued_.begin()->first;
      QueueOf(queued_.begin()->second.requestClass).Remove(id);
      refused_.push_back({ id, RefusalReason::NoBackendServer });
      Forget(id);
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
  if (expiries_.empty()) {
    return std::nullopt;
  }
  return expiries_.begin()->first;
}

void
FairShardScheduler::OnRequestSent(std::uint64_t /*aRequestId*/,
                                  Instant /*aNow*/)
{
}

void
FairShardScheduler::OnResponseHead(std::uint64_t /*aRequestId*/,
                                   Instant /*aNow*/)
{
}

void
FairShardScheduler::Complete(std::uint64_t aRequestId,
                             AttemptResult /*aResult*/,
                             Instant /*aNow*/)
{
  const auto found = running_.find(aRequestId);
  if (found == running_.end()) {
    return;
  }
  Server* const server = found->second.server;
  running_.erase(found);
  server->slots.Release();
  if (server->isRemoved && server->slots.Used() == 0) {
    servers_.erase(std::string(server->name));
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
FairShardScheduler::Report(Instant /*aNow*/) const
{
  std::vector<ServerReport> reports;
  for (const auto& [name, server] : servers_) {
    ServerReport report;
    report.backendServer = name;
    report.state = server.isRemoved ? ServerState::Leaving : server.state;
    report.slots = server.slots.Slots();
    report.usedSlots = server.slots.Used();
    reports.push_back(std::move(report));
  }
  return reports;
}

bool
FairShardScheduler::AcceptsWork(const Server& aServer) const
{
  return !aServer.isRemoved && aServer.state == ServerState::Healthy;
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

FairQueue&
FairShardScheduler::QueueOf(RequestClass aClass)
{
  return aClass == RequestClass::Excess ? excess_ : inContract_;
}

FairShardScheduler::Server*
FairShardScheduler::PickServer()
{
  // The server with the smallest share of its slots in use; ties at random,
  // so that no server gets all requests of a quiet shard.
  Server* best = nullptr;
  double bestShare = 1;
  std::uint64_t ties = 0;
  for (auto& [name, server] : servers_) {
    if (!AcceptsWork(server) || server.slots.Free() == 0) {
      continue;
    }
    const double share =
      static_cast<double>(server.slots.Used()) / server.slots.Slots();
    if (best == nullptr || share < bestShare) {
      best = &server;
      bestShare = share;
      ties = 1;
    } else if (share == bestShare && random_.Below(++ties) == 0) {
      best = &server;
    }
  }
  return best;
}

void
FairShardScheduler::RefuseExpired(Instant aNow)
{
  while (!expiries_.empty() && expiries_.begin()->first <= aNow) {
    const std::uint64_t id = expiries_.begin()->second;
    const Queued& queued = queued_.at(id);
    QueueOf(queued.requestClass).Remove(id);
    refused_.push_back({ id, queued.reason });
    Forget(id);
  }
}

void
FairShardScheduler::Forget(std::uint64_t aRequestId)
{
  const auto found = queued_.find(aRequestId);
  expiries_.erase({ found->second.expiry, aRequestId });
  queued_.erase(found);
}

} // namespace filbertbeam
