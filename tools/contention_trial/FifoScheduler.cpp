#include "FifoScheduler.h"

#include <algorithm>

namespace filbertbeam {

namespace {

constexpr std::chrono::seconds kMaxWait{ 1 };

} // namespace

void
FifoScheduler::SetBackendServers(
  const Service& /*aService*/,
  std::span<const BackendServer* const> aBackendServers,
  Instant /*aNow*/)
{
  for (const BackendServer* server : aBackendServers) {
    servers_[server->name].SetSlots(server->slots);
  }
}

std::optional<RefusalReason>
FifoScheduler::Submit(const ShardRequest& aRequest, Instant aNow)
{
  queue_.push_back(
    { aRequest.id, std::min<Instant>(aRequest.deadline, aNow + kMaxWait) });
  return std::nullopt;
}

bool
FifoScheduler::Cancel(std::uint64_t aRequestId)
{
  return std::erase_if(queue_,
                       [aRequestId](const QueuedRequest& aQueuedRequest) {
                         return aQueuedRequest.id == aRequestId;
                       }) > 0;
}

std::vector<Assignment>
FifoScheduler::Dispatch(Instant /*aNow*/)
{
  std::vector<Assignment> assignments;
  while (!queue_.empty()) {
    const auto found =
      std::max_element(servers_.begin(),
                       servers_.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.Free() < aRight.second.Free();
                       });
    if (found == servers_.end() || !found->second.TryTake()) {
      break;
    }
    running_[queue_.front().id] = &found->second;
    assignments.push_back({ queue_.front().id, found->first, false });
    queue_.pop_front();
  }
  return assignments;
}

std::vector<Refusal>
FifoScheduler::Expire(Instant aNow)
{
  std::vector<Refusal> refusals;
  while (!queue_.empty() && queue_.front().expiry <= aNow) {
    refusals.push_back({ queue_.front().id, RefusalReason::WaitExceeded });
    queue_.pop_front();
  }
  return refusals;
}

std::optional<Instant>
FifoScheduler::NextEvent(Instant /*aNow*/) const
{
  if (queue_.empty()) {
    return std::nullopt;
  }
  return queue_.front().expiry;
}

void
FifoScheduler::Complete(std::uint64_t aRequestId,
                        AttemptResult /*aResult*/,
                        Instant /*aNow*/)
{
  const auto found = running_.find(aRequestId);
  if (found != running_.end()) {
    found->second->Release();
    running_.erase(found);
  }
}

} // namespace filbertbeam
