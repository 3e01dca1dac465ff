#pragma once

#include "base/SeededRandom.h"
#include "slots/FairQueue.h"
#include "slots/ServerSlots.h"
#include "slots/ShardScheduler.h"

#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace filbertbeam {

// The scheduler of a shard: a fair queue per request class in front of exact
// slot counts.
class FairShardScheduler final : public ShardScheduler
{
public:
  FairShardScheduler(const Service& aService, std::uint64_t aSeed);

  void SetBackendServers(const Service& aService,
                         std::span<const BackendServer* const> aBackendServers,
                         Instant aNow) override;
  std::optional<RefusalReason> Submit(const ShardRequest& aRequest,
                                      Instant aNow) override;
  bool Cancel(std::uint64_t aRequestId) override;
  std::vector<Assignment> Dispatch(Instant aNow) override;
  std::vector<Refusal> Expire(Instant aNow) override;
  std::optional<Instant> NextEvent(Instant aNow) const override;
  void OnRequestSent(std::uint64_t aRequestId, Instant aNow) override;
  void OnResponseHead(std::uint64_t aRequestId, Instant aNow) override;
  void Complete(std::uint64_t aRequestId,
                AttemptResult aResult,
                Instant aNow) override;
  ShardLoad Load() const override;
  std::vector<ServerReport> Report(Instant aNow) const override;

private:
  struct Server
  {
    std::string name;
    ServerSlots slots;
    ServerState state = ServerState::Healthy;
    // No longer configured; kept until its last request finished.
    bool isRemoved = false;
  };

  struct Queued
  {
    RequestClass requestClass = RequestClass::InContract;
    Instant expiry;
    // Why the request is refused at its expiry.
    RefusalReason reason = RefusalReason::WaitExceeded;
  };

  struct Attempt
  {
    Server* server = nullptr;
  };

  bool AcceptsWork(const Server& aServer) const;
  bool HasBackendServer() const;
  FairQueue& QueueOf(RequestClass aClass);
  Server* PickServer();
  void RefuseExpired(Instant aNow);
  void Forget(std::uint64_t aRequestId);

  SeededRandom random_;
  std::map<std::string, Server> servers_;
  FairQueue inContract_;
  FairQueue excess_;
  std::unordered_map<std::uint64_t, Queued> queued_;
  std::set<std::pair<Instant, std::uint64_t>> expiries_;
  // Refused, not yet returned by Expire.
  std::vector<Refusal> refused_;
  std::unordered_map<std::uint64_t, Attempt> running_;
};

} // namespace filbertbeam
