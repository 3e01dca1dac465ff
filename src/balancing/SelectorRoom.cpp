#include "balancing/BackendSelector.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// A server that appears unhealthy with at least this probability is not counted
// on to serve requests.
constexpr double kMaxUnhealthy = 0.4;
// A server may hold this many requests more than its slots, so that a slot that
// becomes free does not wait for a round trip to the host of the next request.
constexpr int kAheadOfSlots = 1;
// An attempt that has run for this many times the latency that nearly all
// attempts of its route stay below probably holds no slot any more.
constexpr int kStuckLatencies = 3;
constexpr double kNearlyAll = 0.95;

} // namespace

std::optional<SelectionResult>
BackendSelector::SelectIfRoom(const SelectionRequest& aRequest, Instant aNow)
{
  DropOverdue(aNow);
  const LatencyModel& model =
    ModelOf(aRequest.service + '/' + aRequest.route, aRequest.latencyObjective);
  const BackendServerRecord* server = FindServer(aRequest, aNow);
  if (server != nullptr && !HasRoom(servers_[server->id], aNow) &&
      !HasRoomInShard(aRequest, aNow)) {
    return std::nullopt;
  }
  return Commit(aRequest, server, model, aNow);
}

Duration
BackendSelector::TypicalWork(const SelectionRequest& aRequest)
{
  return ModelOf(aRequest.service + '/' + aRequest.route,
                 aRequest.latencyObjective)
    .Mean();
}

ShardRoom
BackendSelector::RoomFor(const SelectionRequest& aRequest, Instant aNow)
{
  ShardRoom healthy;
  ShardRoom all;
  int servers = 0;
  for (const BackendServerRecord* record :
       directory_->ServersOfShard(aRequest.service, aRequest.shard)) {
    if (record->isDraining) {
      continue;
    }
    ++servers;
    const int slots = std::max(record->slots, 1);
    all.slots += slots;
    if (UnhealthyProbability(record->id, aNow) < kMaxUnhealthy) {
      healthy.slots += slots;
    }
  }
  ShardRoom room = healthy.slots > 0 ? healthy : all;
  if (room.slots > 0) {
    // The queue of a server is kAheadOfSlots long at most.
    room.serverDelay =
      TypicalWork(aRequest) * kAheadOfSlots * servers / all.slots;
  }
  return room;
}

bool
BackendSelector::HasRoom(const ServerState& aServer, Instant aNow) const
{
  const int limit = std::max(aServer.slots, 1) + kAheadOfSlots;
  int holding = static_cast<int>(aServer.pending.size());
  if (holding < limit) {
    return true;
  }
  for (const std::uint64_t ticket : aServer.pending) {
    const auto attempt = tickets_.find(ticket);
    if (attempt == tickets_.end()) {
      --holding;
      continue;
    }
    const auto model = models_.find(attempt->second.latencyClass);
    if (model != models_.end() &&
        aNow - attempt->second.startAt >
          model->second.Quantile(kNearlyAll) * kStuckLatencies) {
      --holding;
    }
  }
  return holding < limit;
}

bool
BackendSelector::HasRoomInShard(const SelectionRequest& aRequest,
                                Instant aNow) const
{
  return std::ranges::any_of(
    directory_->ServersOfShard(aRequest.service, aRequest.shard),
    [&](const BackendServerRecord* aRecord) {
      if (aRecord->isDraining ||
          std::ranges::find(aRequest.excluded, aRecord->id) !=
            aRequest.excluded.end()) {
        return false;
      }
      // A server counts that appears unhealthy: the estimate may be wrong, and
      // no slot may idle while a request waits for it.
      const auto server = servers_.find(aRecord->id);
      return server == servers_.end() || HasRoom(server->second, aNow);
    });
}

} // namespace filbertbeam
