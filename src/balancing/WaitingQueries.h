#pragma once

#include "balancing/Selection.h"
#include "http/HttpMessage.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace filbertbeam {

struct SelectionOutcome;

// A query of this host that has not been decided.
struct PendingQuery
{
  SelectionRequest request;
  std::function<void(const SelectionOutcome&)> callback;
  std::string owner;
  Endpoint address;
  Instant dueAt;
};

// The queries of this host that wait at their owners for a free slot. Repeats
// each of them, so that the owner knows that it still waits, and gives up those
// whose owner no longer responds.
class WaitingQueries
{
public:
  // Well below OwnerQueue::kSilentTime, so that a lost repeat does no harm.
  static constexpr std::chrono::milliseconds kRepeatInterval{ 250 };
  static constexpr int kMaxUnanswered = 2;

  struct Due
  {
    std::vector<std::pair<std::uint64_t, PendingQuery>> toRepeat;
    std::vector<std::pair<std::uint64_t, PendingQuery>> givenUp;
  };

  void Add(std::uint64_t aId, PendingQuery aQuery, Instant aNow);
  // Notes that the owner keeps the query. Returns false if it does not wait.
  bool OnStillWaiting(std::uint64_t aId);
  std::optional<PendingQuery> Take(std::uint64_t aId);
  // Returns the queries to repeat now, with the time that they have left, and
  // takes out those to give up.
  Due TakeDue(Instant aNow);
  bool IsEmpty() const { return queries_.empty(); }

private:
  struct WaitingQuery
  {
    PendingQuery query;
    Instant deadline;
    Instant repeatAt;
    int unanswered = 0;
  };

  std::map<std::uint64_t, WaitingQuery> queries_;
};

} // namespace filbertbeam
