#include "balancing/OwnerQueue.h"

#include "base/Log.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Requests that are tried when a slot is free: the first in the order may
// exclude the servers that have room.
constexpr std::size_t kMaxTried = 4;
// Above this number of shards, those without waiting requests are forgotten.
constexpr std::size_t kMaxShards = 256;
constexpr milliseconds kHedgeRetryAfter{ 150 };

std::string
NameOf(const SelectionRequest& aRequest)
{
  return fmt::format(
    "{}/{}/{}", aRequest.service, aRequest.shard.index, aRequest.shard.count);
}

void
LogWaited(const SelectionRequest& aRequest,
          std::string_view aOutcome,
          Duration aWaited)
{
  LogEvent(
    LogLevel::Info,
    "selection_waited",
    { { "service", aRequest.service },
      { "route", aRequest.route },
      { "for", aRequest.host },
      { "priority", aRequest.priority },
      { "outcome", aOutcome },
      { "ms", std::chrono::duration_cast<milliseconds>(aWaited).count() } });
}

} // namespace

OwnerQueue::OwnerQueue(BackendSelector& aSelector)
  : selector_(aSelector)
{
}

std::optional<std::uint64_t>
OwnerQueue::Offer(const SelectionRequest& aRequest,
                  Responder aResponder,
                  Instant aNow)
{
  const std::string shard = NameOf(aRequest);
  WaitingRequests& waiting = WaitingOf(shard);
  if (waiting.IsEmpty()) {
    if (const auto result = selector_.SelectIfRoom(aRequest, aNow)) {
      aResponder(*result);
      return std::nullopt;
    }
  }
  if (aRequest.purpose == AttemptPurpose::Hedge) {
    LogWaited(aRequest, "hedge-refused", {});
    aResponder({ std::nullopt, "no-room", kHedgeRetryAfter });
    return std::nullopt;
  }
  const std::uint64_t id = nextId_++;
  const Instant deadline = aNow + aRequest.remaining;
  entries_.emplace(
    id, Entry{ shard, aRequest, std::move(aResponder), aNow, deadline, aNow });
  waiting.Add({ id,
                aRequest.host,
                aRequest.route,
                aRequest.priority,
                aRequest.purpose == AttemptPurpose::Retry,
                deadline,
                selector_.TypicalWork(aRequest) });
  std::vector<Response> responses;
  ServeShard(shard, aNow, responses);
  Send(responses);
  return entries_.contains(id) ? std::optional(id) : std::nullopt;
}

bool
OwnerQueue::KeepWaiting(std::uint64_t aId, Instant aNow)
{
  const auto entry = entries_.find(aId);
  if (entry == entries_.end()) {
    return false;
  }
  entry->second.heardAt = aNow;
  return true;
}

void
OwnerQueue::Cancel(std::uint64_t aId)
{
  const auto node = entries_.extract(aId);
  if (node.empty()) {
    return;
  }
  shards_.at(node.mapped().shard).Remove(aId);
}

WaitingRequests&
OwnerQueue::WaitingOf(const std::string& aShard)
{
  if (shards_.size() >= kMaxShards) {
    std::erase_if(shards_,
                  [](const auto& aItem) { return aItem.second.IsEmpty(); });
  }
  return shards_[aShard];
}

void
OwnerQueue::Serve(Instant aNow)
{
  if (entries_.empty()) {
    return;
  }
  std::vector<std::string> names;
  for (const auto& [name, waiting] : shards_) {
    if (!waiting.IsEmpty()) {
      names.push_back(name);
    }
  }
  std::vector<Response> responses;
  for (const std::string& name : names) {
    ServeShard(name, aNow, responses);
  }
  Send(responses);
}

void
OwnerQueue::ServeShard(const std::string& aShard,
                       Instant aNow,
                       std::vector<Response>& aResponses)
{
  const auto shard = shards_.find(aShard);
  while (StartOne(shard->second, aNow, aResponses)) {
  }
  TurnAwayLate(shard->second, aNow, aResponses);
}

bool
OwnerQueue::StartOne(WaitingRequests& aWaiting,
                     Instant aNow,
                     std::vector<Response>& aResponses)
{
  const std::size_t count = std::min(aWaiting.InOrder().size(), kMaxTried);
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint64_t id = aWaiting.InOrder()[i].id;
    Entry& entry = entries_.at(id);
    if (i > 0 && entry.request.excluded ==
                   entries_.at(aWaiting.InOrder()[i - 1].id).request.excluded) {
      continue;
    }
    entry.request.remaining = std::max(entry.deadline - aNow, Duration::zero());
    const auto result = selector_.SelectIfRoom(entry.request, aNow);
    if (!result) {
      continue;
    }
    aWaiting.OnStart(id, selector_.RoomFor(entry.request, aNow), aNow);
    LogWaited(entry.request, "selected", aNow - entry.arrivedAt);
    aResponses.push_back({ std::move(entry.responder), *result });
    entries_.erase(id);
    return true;
  }
  return false;
}

void
OwnerQueue::TurnAwayLate(WaitingRequests& aWaiting,
                         Instant aNow,
                         std::vector<Response>& aResponses)
{
  if (aWaiting.IsEmpty()) {
    return;
  }
  const SelectionRequest& any =
    entries_.at(aWaiting.InOrder().front().id).request;
  const ShardRoom room = selector_.RoomFor(any, aNow);
  for (const TurnedAwayRequest& turnedAway : aWaiting.TurnAway(room, aNow)) {
    Entry entry = std::move(entries_.extract(turnedAway.id).mapped());
    LogWaited(entry.request, turnedAway.reason, aNow - entry.arrivedAt);
    aResponses.push_back({ std::move(entry.responder),
                           { std::nullopt,
                             std::string(turnedAway.reason),
                             turnedAway.retryAfter } });
  }
}

std::vector<std::uint64_t>
OwnerQueue::DropSilent(Instant aNow)
{
  std::vector<std::uint64_t> silent;
  for (const auto& [id, entry] : entries_) {
    if (aNow - entry.heardAt > kSilentTime) {
      silent.push_back(id);
    }
  }
  for (const std::uint64_t id : silent) {
    LogWaited(
      entries_.at(id).request, "silent", aNow - entries_.at(id).arrivedAt);
    Cancel(id);
  }
  return silent;
}

void
OwnerQueue::Send(std::span<const Response> aResponses)
{
  // A responder may offer another request, so that the queue must not be in use
  // here.
  for (const Response& response : aResponses) {
    response.responder(response.result);
  }
}

} // namespace filbertbeam
