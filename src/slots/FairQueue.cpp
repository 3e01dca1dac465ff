#include "slots/FairQueue.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// Minimum weight, for customers whose promise is (nearly) zero; a weight of
// zero would never be served.
constexpr double kMinimumWeight = 0.01;

// Idle flows are erased when there are more than this many flows beyond twice
// the number of backlogged ones.
constexpr std::size_t kIdleFlowsBeforeCleanup = 64;

} // namespace

void
FairQueue::Push(std::uint64_t aId,
                std::string_view aCustomer,
                double aWeight,
                bool aIsIdempotent)
{
  Flow& flow = flows_[std::string(aCustomer)];
  flow.weight = std::max(aWeight, kMinimumWeight);
  if (flow.entries.empty()) {
    // An idle customer starts at the current virtual time, so that it
    // accumulates no credit, or at the finish time of its last request if that
    // is later, so that it still pays for that request.
    flow.start = std::max(flow.start, virtualTime_);
    flow.sequence = nextSequence_++;
    backloggedFlows_.insert({ flow.start, flow.sequence, &flow });
  }
  flow.entries.push_back({ aId, aIsIdempotent });
  flowsById_.emplace(aId, &flow);
}

std::optional<std::uint64_t>
FairQueue::Pop()
{
  if (backloggedFlows_.empty()) {
    return std::nullopt;
  }
  return Serve(*backloggedFlows_.begin());
}

std::optional<std::uint64_t>
FairQueue::PopIdempotent()
{
  const auto found = std::find_if(
    backloggedFlows_.begin(), backloggedFlows_.end(), [](const OrderKey& aKey) {
      return aKey.flow->entries.front().isIdempotent;
    });
  if (found == backloggedFlows_.end()) {
    return std::nullopt;
  }
  return Serve(*found);
}

bool
FairQueue::Remove(std::uint64_t aId)
{
  const auto found = flowsById_.find(aId);
  if (found == flowsById_.end()) {
    return false;
  }
  Flow* const flow = found->second;
  flowsById_.erase(found);
  std::erase_if(flow->entries,
                [aId](const Entry& aEntry) { return aEntry.id == aId; });
  if (flow->entries.empty()) {
    backloggedFlows_.erase({ flow->start, flow->sequence, flow });
    EraseIdleFlows();
  }
  return true;
}

std::size_t
FairQueue::SizeOf(std::string_view aCustomer) const
{
  const auto found = flows_.find(std::string(aCustomer));
  return found == flows_.end() ? 0 : found->second.entries.size();
}

std::uint64_t
FairQueue::Serve(const OrderKey& aKey)
{
  const OrderKey key = aKey;
  backloggedFlows_.erase(key);
  Flow& flow = *key.flow;
  const std::uint64_t id = flow.entries.front().id;
  flow.entries.pop_front();
  flowsById_.erase(id);
  // PopIdempotent can skip flows with earlier start times; virtual time must
  // not decrease.
  virtualTime_ = std::max(virtualTime_, std::min(key.start, flow.start));
  flow.start += 1 / flow.weight;
  if (flow.entries.empty()) {
    EraseIdleFlows();
  } else {
    flow.sequence = nextSequence_++;
    backloggedFlows_.insert({ flow.start, flow.sequence, &flow });
  }
  return id;
}

void
FairQueue::EraseIdleFlows()
{
  if (backloggedFlows_.empty()) {
    // No customer has requests queued, so that the finish times of this busy
    // period no longer matter.
    flows_.clear();
    return;
  }
  if (flows_.size() <= 2 * backloggedFlows_.size() + kIdleFlowsBeforeCleanup) {
    return;
  }
  std::erase_if(flows_, [this](const auto& aItem) {
    return aItem.second.entries.empty() && aItem.second.start <= virtualTime_;
  });
}

} // namespace filbertbeam
