#include "balancing/WaitingQueries.h"

#include <algorithm>

namespace filbertbeam {

void
WaitingQueries::Add(std::uint64_t aId, PendingQuery aQuery, Instant aNow)
{
  const Instant deadline = aNow + aQuery.request.remaining;
  queries_.emplace(
    aId,
    WaitingQuery{ std::move(aQuery), deadline, aNow + kRepeatInterval, 0 });
}

bool
WaitingQueries::OnStillWaiting(std::uint64_t aId)
{
  const auto found = queries_.find(aId);
  if (found == queries_.end()) {
    return false;
  }
  found->second.unanswered = 0;
  return true;
}

std::optional<PendingQuery>
WaitingQueries::Take(std::uint64_t aId)
{
  auto node = queries_.extract(aId);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped().query);
}

WaitingQueries::Due
WaitingQueries::TakeDue(Instant aNow)
{
  Due due;
  for (auto item = queries_.begin(); item != queries_.end();) {
    WaitingQuery& waiting = item->second;
    if (waiting.repeatAt > aNow) {
      ++item;
      continue;
    }
    waiting.query.request.remaining =
      std::max(waiting.deadline - aNow, Duration::zero());
    if (waiting.unanswered >= kMaxUnanswered) {
      due.givenUp.emplace_back(item->first, std::move(waiting.query));
      item = queries_.erase(item);
      continue;
    }
    ++waiting.unanswered;
    waiting.repeatAt = aNow + kRepeatInterval;
    due.toRepeat.emplace_back(item->first, waiting.query);
    ++item;
  }
  return due;
}

} // namespace filbertbeam
