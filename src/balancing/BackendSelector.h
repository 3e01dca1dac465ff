#pragma once

#include "balancing/ExtraAttemptBudget.h"
#include "balancing/LatencyModel.h"
#include "balancing/Selection.h"
#include "balancing/ServerHealth.h"
#include "base/Random.h"
#include "directory/BackendDirectory.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace filbertbeam {

// Chooses backend servers for the requests it is told of: the one with the
// least expected cost, from the requests under way there, the belief in its
// health, its speed and the bytes between failure domains. A server is never
// excluded for its health alone, so no belief can take away capacity that a
// service needs.
class BackendSelector
{
public:
  BackendSelector(const ExtraAttemptLimits& aBudget, Random& aRandom);

  void SetBudget(const ExtraAttemptLimits& aBudget);
  // This host's share of the burst of aService, from 0 to 1, and the part of it
  // that needs no wait.
  void SetBurstShare(const std::string& aService,
                     double aShare,
                     double aImmediateShare,
                     Instant aNow);
  void SetDirectory(std::shared_ptr<const BackendDirectory> aDirectory);

  SelectionResult Select(const SelectionRequest& aRequest, Instant aNow);
  // Counts an attempt for which another host chose aServer. Returns its ticket.
  std::uint64_t Track(const SelectionRequest& aRequest,
                      const std::string& aServer,
                      Instant aNow);
  // The attempt of aTicket ended. Unknown tickets are ignored: a report may
  // come twice, or after the ticket was dropped.
  void Finish(std::uint64_t aTicket, AttemptResult aResult, Instant aNow);

  // Drops attempts whose reports were lost.
  void DropOverdue(Instant aNow);

  int PendingAttempts() const { return static_cast<int>(tickets_.size()); }
  double UnhealthyProbability(std::string_view aServer, Instant aNow) const;

private:
  struct PendingAttempt
  {
    std::string server;
    std::string service;
    std::string host;
    std::string latencyClass;
    AttemptPurpose purpose = AttemptPurpose::First;
    // This host chose, so its account of extraAttempts books the attempt.
    bool isChosenLocally = false;
    // Its server was not under suspicion when it was chosen here.
    bool wasServerHealthy = false;
    Instant sentAt;
    // When the server can have begun with it, after those before it.
    Instant startAt;
    Instant dropAt;
  };

  struct ServerState
  {
    std::int64_t startedAt = 0;
    ServerHealth health;
    // Tickets of the attempts under way.
    std::vector<std::uint64_t> pending;
    int slots = 1;
    // Ratio of its latencies to those of its service.
    double slowness = 1;
    Instant chosenAt;
    Instant respondedAt;
    // Last bad report, to tell a broken path of one host from a sick server.
    std::string badReporter;
    Instant badReportAt;
    // It refused work for want of room; counted as full until then.
    Instant fullUntil;
  };

  ExtraAttemptBudget& BudgetOf(const std::string& aService);
  // Books what the end of an attempt says about extraAttempts.
  void UpdateBudget(const PendingAttempt& aAttempt,
                    AttemptResult aResult,
                    Instant aNow);
  LatencyModel& ModelOf(const std::string& aClass, Duration aObjective);
  // Log likelihood of the ages of the attempts under way at aServer.
  double PendingEvidence(const ServerState& aServer, Instant aNow) const;
  // The cheapest of aServers for aRequest; null when it may use none.
  const BackendServerRecord* FindBest(
    const SelectionRequest& aRequest,
    std::span<const BackendServerRecord* const> aServers,
    const LatencyModel& aModel,
    Instant aNow);
  double ExpectedCost(const SelectionRequest& aRequest,
                      const BackendServerRecord& aRecord,
                      ServerState& aServer,
                      const LatencyModel& aModel,
                      Instant aNow);
  bool TryAcquireExtraAttempt(const SelectionRequest& aRequest, Instant aNow);
  // Share of the budget that the attempt must leave.
  double ExtraAttemptReserve(const SelectionRequest& aRequest,
                             Instant aNow) const;
  // aServer is to get a request so that it does not stay without work.
  bool IsRotationDue(const SelectionRequest& aRequest,
                     const BackendServerRecord& aRecord,
                     const ServerState& aServer,
                     double aUnhealthyProbability,
                     Instant aNow) const;
  // Takes the end of an attempt into the share of those that fail.
  void UpdateFailingShare(const PendingAttempt& aAttempt,
                          AttemptResult aResult);
  static void RemovePending(ServerState& aServer, std::uint64_t aTicket);

  ExtraAttemptLimits budgetLimits_;
  Random& random_;
  std::shared_ptr<const BackendDirectory> directory_;
  std::unordered_map<std::string, ServerState> servers_;
  // By service.
  std::unordered_map<std::string, ExtraAttemptBudget> budgets_;
  std::unordered_map<std::string, LatencyModel> models_;
  // Of the attempts of each service at servers without suspicion.
  std::unordered_map<std::string, double> failingShares_;
  // Ordered by age: tickets grow.
  std::map<std::uint64_t, PendingAttempt> tickets_;
  std::uint64_t nextTicket_;
};

} // namespace filbertbeam
