#pragma once

#include "base/SeededRandom.h"
#include "slots/EjectionPolicy.h"
#include "slots/FairQueue.h"
#include "slots/OutlierDetector.h"
#include "slots/ServerSlots.h"
#include "slots/ShardScheduler.h"
#include "slots/ShedPause.h"

#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace filbertbeam {

// ShardScheduler with a fair queue per request class, exact slot counts, and
// outlier detection and ejection of backend servers.
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
  std::uint64_t StateChanges() const override { return stateChanges_; }

private:
  struct Server
  {
    ServerId id = 0;
    std::string name;
    ServerSlots slots;
    ShedPause shedPause;
    ServerState state = ServerState::Healthy;
    // Number of state changes. Samples of requests that were assigned in an
    // earlier state say nothing about the current one.
    std::uint64_t epoch = 0;
    int trialsRunning = 0;
    std::optional<Instant> lastResponseAt;
    // The server is an outlier that the floor keeps from being ejected.
    bool isSuspect = false;
    Instant lastAssignedAt;
    std::string lastReason;
    // The server is no longer configured, and kept until its last request ends.
    bool isRemoved = false;
  };

  struct QueuedRequest
  {
    RequestClass requestClass = RequestClass::InContract;
    Instant expiry;
    // Reason for the refusal once the request expires.
    RefusalReason reason = RefusalReason::WaitExceeded;
  };

  // A request that holds a slot of a backend server.
  struct Attempt
  {
    Server* server = nullptr;
    std::uint64_t epoch = 0;
    bool isTrial = false;
    std::optional<Instant> sentAt;
    std::optional<Instant> headAt;
    // The latency is recorded, or the trial is decided.
    bool isSampled = false;
    int unansweredSamples = 0;
    // How many multiples of the slow threshold the age of the request has
    // passed, and the factor of the next one.
    int thresholdsPassed = 0;
    std::int64_t thresholdFactor = 1;
    Instant lastThresholdPassedAt;
    std::optional<Instant> nextCheck;
  };

  bool AcceptsWork(const Server& aServer) const;
  // Whether the server gets a request only if no other one has a free slot.
  bool IsLastChoice(const Server& aServer, Instant aNow) const;
  bool HasBackendServer() const;
  bool CanServe(const ShardRequest& aRequest) const;
  FairQueue& QueueOf(RequestClass aClass);
  Server* PickServer(Instant aNow);
  Server* PickTrialServer(Instant aNow);
  void Assign(std::uint64_t aRequestId,
              Server& aServer,
              bool aIsTrial,
              Instant aNow,
              std::vector<Assignment>& aAssignments);
  void RefuseExpired(Instant aNow);
  void EraseQueued(std::uint64_t aRequestId);

  // Applies the states that policy_ decided. aReason is reported for readmitted
  // servers.
  void UpdateStates(std::string_view aReason);
  // Ejects the server if the detector finds it an outlier and the floor allows
  // it.
  void EvaluateServer(Server& aServer, Instant aNow);
  bool IsCurrent(const Attempt& aAttempt) const;
  void ScheduleCheck(std::uint64_t aRequestId,
                     Attempt& aAttempt,
                     std::optional<Instant> aAt);
  void RunCheck(std::uint64_t aRequestId, Instant aNow);
  void RunChecks(Instant aNow);
  void RecordLatency(Attempt& aAttempt, Instant aNow);
  void RecordTrialResult(Attempt& aAttempt,
                         AttemptResult aResult,
                         Instant aNow);

  SeededRandom random_;
  OutlierDetector detector_;
  EjectionPolicy policy_;
  std::map<std::string, Server> servers_;
  ServerId nextServerId_ = 0;
  std::uint64_t stateChanges_ = 0;
  FairQueue inContract_;
  FairQueue excess_;
  std::unordered_map<std::uint64_t, QueuedRequest> queued_;
  std::set<std::pair<Instant, std::uint64_t>> expiries_;
  // Refusals that Expire has not returned yet.
  std::vector<Refusal> refused_;
  std::unordered_map<std::uint64_t, Attempt> running_;
  std::set<std::pair<Instant, std::uint64_t>> checks_;
};

} // namespace filbertbeam
