#pragma once

#include "balancing/ExtraAttemptBudget.h"
#include "balancing/ExtraAttemptOrder.h"
#include "balancing/IdleConnections.h"
#include "balancing/LatencyModel.h"
#include "balancing/Selection.h"
#include "balancing/ServerCost.h"
#include "balancing/ServerHealth.h"
#include "balancing/WaitingRequests.h"
#include "base/Random.h"
#include "directory/BackendDirectory.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace filbertbeam {

// Selects the backend server with the least expected cost for a request. The
// cost depends on the pending requests of the server, the estimate of its
// health, its speed and the traffic between failure domains. A server is never
// excluded for its health alone, so a wrong estimate can't take away capacity
// that a service needs.
class BackendSelector
{
public:
  BackendSelector(const ExtraAttemptLimits& aBudget, Random& aRandom);

  void SetBudget(const ExtraAttemptLimits& aBudget);
  // Sets this host's share of the burst of aService, from 0 to 1, and the part
  // of it that takes effect immediately.
  void SetBurstShare(const std::string& aService,
                     double aShare,
                     double aImmediateShare,
                     Instant aNow);
  void SetDirectory(std::shared_ptr<const BackendDirectory> aDirectory);

  SelectionResult Select(const SelectionRequest& aRequest, Instant aNow);
  // Selects as Select() does. Returns nothing if the server and all others of
  // the shard that could serve the request have no room for it.
  std::optional<SelectionResult> SelectIfRoom(const SelectionRequest& aRequest,
                                              Instant aNow);
  // Time for which aRequest is expected to occupy a slot.
  Duration TypicalWork(const SelectionRequest& aRequest);
  // Returns the room in the shard of aRequest, without servers that appear
  // unhealthy, unless all do.
  ShardRoom RoomFor(const SelectionRequest& aRequest, Instant aNow);
  // Counts an attempt for which another host selected aServer. Returns its
  // ticket.
  std::uint64_t Track(const SelectionRequest& aRequest,
                      const std::string& aServer,
                      Instant aNow);
  // Records the end of the attempt with aTicket. Unknown tickets are ignored,
  // since a report may arrive twice or after its ticket was dropped.
  void Finish(std::uint64_t aTicket, AttemptResult aResult, Instant aNow);

  // Drops attempts whose reports were lost.
  void DropOverdue(Instant aNow);

  // Notes that aHost has sent a message. Without any, as for this host itself,
  // a host counts as running.
  void OnHostMessage(const std::string& aHost, Instant aNow);
  // Notes a message of the host that made the attempt.
  void OnReport(std::uint64_t aTicket, Instant aNow);
  int PendingAttempts() const { return static_cast<int>(tickets_.size()); }
  double UnhealthyProbability(std::string_view aServer, Instant aNow) const;

private:
  struct PendingAttempt
  {
    std::string server;
    // Identifies the run of the server.
    std::int64_t serverStartedAt = 0;
    std::string service;
    std::string host;
    std::string latencyClass;
    AttemptPurpose purpose = AttemptPurpose::First;
    // This host selected the server, so the attempt counts in its budget.
    bool isChosenLocally = false;
    // The server was not suspected to be unhealthy when this host selected it.
    bool wasServerHealthy = false;
    Instant sentAt;
    // Estimated time at which the server starts on the attempt, after those
    // queued before it.
    Instant startAt;
    Instant dropAt;
  };

  struct ServerState
  {
    std::int64_t startedAt = 0;
    ServerHealth health;
    // Tickets of the pending attempts.
    std::vector<std::uint64_t> pending;
    int slots = 1;
    // Ratio of the server's latencies to those of its service.
    double slowness = 1;
    Instant chosenAt;
    Instant respondedAt;
    // Sender and time of the last report of a failure; distinguishes a broken
    // path of one host from an unhealthy server.
    std::string badReporter;
    Instant badReportAt;
    // The server recently refused a request for lack of capacity and counts as
    // full until this time.
    Instant fullUntil;
    IdleConnections idleConnections;
  };

  ExtraAttemptBudget& BudgetOf(const std::string& aService);
  // Updates the budget for extra attempts after the end of an attempt.
  void UpdateBudget(const PendingAttempt& aAttempt,
                    AttemptResult aResult,
                    Instant aNow);
  LatencyModel& ModelOf(const std::string& aClass, Duration aObjective);
  // Log likelihood ratio of the ages of the pending attempts at aServer.
  double PendingEvidence(const ServerState& aServer, Instant aNow) const;
  // Returns until when aHost is known to have been running.
  Instant RunningUntil(const std::string& aHost, Instant aNow) const;
  // Returns the server for aRequest, or null if there is none.
  const BackendServerRecord* FindServer(const SelectionRequest& aRequest,
                                        Instant aNow);
  // Returns the selection of aServer, unless aRequest may not be sent.
  SelectionResult Commit(const SelectionRequest& aRequest,
                         const BackendServerRecord* aServer,
                         const LatencyModel& aModel,
                         Instant aNow);
  // True if aServer has a free slot, or holds no request beyond its slots.
  bool HasRoom(const ServerState& aServer, Instant aNow) const;
  // True if a server of the shard has room.
  bool HasRoomInShard(const SelectionRequest& aRequest, Instant aNow) const;
  // Returns the server with the least cost for aRequest, or null if all of
  // aServers are draining or excluded.
  const BackendServerRecord* FindBest(
    const SelectionRequest& aRequest,
    std::span<const BackendServerRecord* const> aServers,
    Instant aNow);
  double ExpectedCost(const SelectionRequest& aRequest,
                      const BackendServerRecord& aRecord,
                      ServerState& aServer,
                      const ServiceEstimate& aService,
                      Instant aNow);
  // True if aRequest can use an idle connection of its host to aServer.
  static bool HasIdleConnection(const SelectionRequest& aRequest,
                                const ServerState& aServer,
                                Instant aNow);
  ServiceEstimate EstimateService(const SelectionRequest& aRequest);
  bool TryAcquireExtraAttempt(const SelectionRequest& aRequest, Instant aNow);
  // Share of what the budget allows that aRequest must leave unused.
  double ExtraAttemptReserve(const SelectionRequest& aRequest,
                             double aAllowed,
                             Instant aNow);
  // Share of the budget that a hedge must leave unused, since its first attempt
  // may still succeed.
  double HedgeReserve(const SelectionRequest& aRequest, Instant aNow) const;
  // Updates the share of failed attempts of the service.
  void UpdateFailingShare(const PendingAttempt& aAttempt,
                          AttemptResult aResult);
  static void RemovePending(ServerState& aServer, std::uint64_t aTicket);

  ExtraAttemptLimits budgetLimits_;
  Random& random_;
  std::shared_ptr<const BackendDirectory> directory_;
  std::unordered_map<std::string, ServerState> servers_;
  // Keyed by service.
  std::unordered_map<std::string, ExtraAttemptBudget> budgets_;
  // Keyed by service.
  std::unordered_map<std::string, ExtraAttemptOrder> extraAttemptOrders_;
  std::unordered_map<std::string, LatencyModel> models_;
  // Share of failed attempts at unsuspected servers, by service.
  std::unordered_map<std::string, double> failingShares_;
  // Time of the last message of each other host.
  std::unordered_map<std::string, Instant> lastMessageAt_;
  // Ordered by age, since tickets increase.
  std::map<std::uint64_t, PendingAttempt> tickets_;
  std::uint64_t nextTicket_;
};

} // namespace filbertbeam
