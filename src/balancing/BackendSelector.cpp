#include "balancing/BackendSelector.h"

#include "base/Log.h"

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Milliseconds = std::chrono::duration<double, std::milli>;

// Maximum random cost, in milliseconds; spreads requests over servers of equal
// cost.
constexpr double kJitter = 12;
// Weight of one attempt in the share of failed attempts.
constexpr double kFailureWeight = 1.0 / 128;

// Maximum evidence from one pending attempt and from all those of a server.
constexpr double kMaxAttemptEvidence = 4.5;
constexpr double kMaxPendingEvidence = 8;
// Probability that an unhealthy server does not respond.
constexpr double kNoResponseProbability = 0.8;
// A host that has sent no message for longer may have failed: its pending
// attempts say nothing more about their servers.
constexpr milliseconds kSilentHostTime{ 150 };
// Bounds the memory for names of hosts, most of which have been replaced.
constexpr std::size_t kMaxHosts = 8'192;
// Further reports of failures from the same host within this time get less
// weight, since the host's path to the server may be broken.
constexpr seconds kSameReporterTime{ 3 };
constexpr double kSameReporterWeight = 0.25;
// Cancelled attempts are weaker evidence than their age alone suggests.
constexpr double kAbandonedWeight = 0.8;

// A server that refused a request for lack of capacity counts as full for this
// long.
constexpr milliseconds kFullTime{ 150 };
// Reports are sent when an attempt ends; one that is missing this long after
// the request's deadline is lost.
constexpr seconds kReportGrace{ 1 };
// Share of the budget that a hedge must leave for retries after failures if the
// server of its first attempt appears healthy.
constexpr double kHedgeReserve = 0.5;
// Weight of one response in a server's slowness.
constexpr double kSlownessWeight = 0.12;
constexpr double kMaxSlowness = 8;
constexpr milliseconds kMinHedgeDelay{ 60 };
// The requests of all hosts detect a server that stopped without notice within
// about this time, so a server that responded more recently is likely to run.
constexpr milliseconds kRecentResponseTime{ 600 };
constexpr milliseconds kRetryAfter{ 150 };

std::string
LatencyClass(const SelectionRequest& aRequest)
{
  return aRequest.service + '/' + aRequest.route;
}

// Evidence from an attempt that has had no response for aAge.
double
AgeEvidence(const LatencyModel& aModel, Duration aAge)
{
  return std::clamp(std::log(kNoResponseProbability / aModel.Survival(aAge)),
                    0.0,
                    kMaxAttemptEvidence);
}

// True for results that leave the connection of the attempt open.
constexpr bool
HasWholeResponse(AttemptResult aResult)
{
  return aResult == AttemptResult::Responded ||
         aResult == AttemptResult::Failed ||
         aResult == AttemptResult::NotExecuted;
}

// Early enough for a second attempt to meet the objective, but not before most
// healthy servers would have responded.
Duration
HedgeDelay(const LatencyModel& aModel, Duration aObjective)
{
  const Duration typical = aModel.Quantile(0.5);
  const Duration early = aModel.Quantile(0.75);
  const Duration late = std::max(early, aModel.Quantile(0.97));
  const Duration wanted = aObjective - typical * 3 / 2;
  return std::max<Duration>(std::clamp(wanted, early, late), kMinHedgeDelay);
}

} // namespace

BackendSelector::BackendSelector(const ExtraAttemptLimits& aBudget,
                                 Random& aRandom)
  : budgetLimits_(aBudget)
  , random_(aRandom)
  , directory_(
      std::make_shared<BackendDirectory>(0, std::vector<BackendServerRecord>()))
  // Prevents reports on tickets of an earlier run of this host from matching
  // new ones.
  , nextTicket_((aRandom.Next() >> 24) << 16)
{
}

void
BackendSelector::SetBudget(const ExtraAttemptLimits& aBudget)
{
  budgetLimits_ = aBudget;
  for (auto& [service, budget] : budgets_) {
    budget.SetLimits(aBudget);
  }
}

void
BackendSelector::SetBurstShare(const std::string& aService,
                               double aShare,
                               double aImmediateShare,
                               Instant aNow)
{
  BudgetOf(aService).SetBurstShare(aShare, aImmediateShare, aNow);
}

void
BackendSelector::SetDirectory(
  std::shared_ptr<const BackendDirectory> aDirectory)
{
  directory_ = std::move(aDirectory);
  std::erase_if(servers_, [this](const auto& aItem) {
    return directory_->Find(aItem.first) == nullptr;
  });
  for (const BackendServerRecord& record : directory_->Servers()) {
    ServerState& server = servers_[record.id];
    if (server.startedAt != record.startedAt) {
      server = {};
      server.startedAt = record.startedAt;
    }
    server.slots = record.slots;
  }
}

SelectionResult
BackendSelector::Select(const SelectionRequest& aRequest, Instant aNow)
{
  DropOverdue(aNow);
  const LatencyModel& model =
    ModelOf(LatencyClass(aRequest), aRequest.latencyObjective);
  return Commit(aRequest, FindServer(aRequest, aNow), model, aNow);
}

const BackendServerRecord*
BackendSelector::FindServer(const SelectionRequest& aRequest, Instant aNow)
{
  const BackendServerRecord* best =
    FindBest(aRequest,
             directory_->ServersOfShard(aRequest.service, aRequest.shard),
             aNow);
  if (best == nullptr) {
    best =
      FindBest(aRequest, directory_->ServersOfService(aRequest.service), aNow);
  }
  return best;
}

SelectionResult
BackendSelector::Commit(const SelectionRequest& aRequest,
                        const BackendServerRecord* aServer,
                        const LatencyModel& aModel,
                        Instant aNow)
{
  if (aServer == nullptr) {
    return { std::nullopt, "no-backend-server", kRetryAfter };
  }
  if (IsExtraAttempt(aRequest.purpose) &&
      !TryAcquireExtraAttempt(aRequest, aNow)) {
    return { std::nullopt, "no-repeat-budget", kRetryAfter };
  }
  const bool isHealthy =
    UnhealthyProbability(aServer->id, aNow) < kMaxUnhealthyForRotation;
  const std::uint64_t ticket = Track(aRequest, aServer->id, aNow);
  PendingAttempt& attempt = tickets_.at(ticket);
  attempt.isChosenLocally = true;
  attempt.wasServerHealthy = isHealthy;
  return { Selection{ ticket,
                      aServer->id,
                      HedgeDelay(aModel, aRequest.latencyObjective),
                      aNow - servers_[aServer->id].respondedAt <
                        kRecentResponseTime },
           {},
           {} };
}

const BackendServerRecord*
BackendSelector::FindBest(const SelectionRequest& aRequest,
                          std::span<const BackendServerRecord* const> aServers,
                          Instant aNow)
{
  const ServiceEstimate service = EstimateService(aRequest);
  const BackendServerRecord* best = nullptr;
  double bestCost = 0;
  for (const BackendServerRecord* record : aServers) {
    if (record->isDraining ||
        std::ranges::find(aRequest.excluded, record->id) !=
          aRequest.excluded.end()) {
      continue;
    }
    const double cost =
      ExpectedCost(aRequest, *record, servers_[record->id], service, aNow);
    if (best == nullptr || cost < bestCost) {
      best = record;
      bestCost = cost;
    }
  }
  return best;
}

bool
BackendSelector::TryAcquireExtraAttempt(const SelectionRequest& aRequest,
                                        Instant aNow)
{
  ExtraAttemptBudget& budget = BudgetOf(aRequest.service);
  const double reserve =
    ExtraAttemptReserve(aRequest, budget.Usage(aNow).allowed, aNow);
  const bool isGranted = budget.TryAcquireExtraAttempt(reserve, aNow);
  const ExtraAttemptUsage use = budget.Usage(aNow);
  LogEvent(LogLevel::Info,
           "repeat_decided",
           { { "service", aRequest.service },
             { "for", aRequest.host },
             { "hedge", aRequest.purpose == AttemptPurpose::Hedge },
             { "granted", isGranted },
             { "requests", use.requests },
             { "repeats", use.extraAttempts },
             { "allowed", fmt::format("{:.1f}", use.allowed) },
             { "reserve", fmt::format("{:.2f}", reserve) } });
  return isGranted;
}

std::uint64_t
BackendSelector::Track(const SelectionRequest& aRequest,
                       const std::string& aServer,
                       Instant aNow)
{
  const std::string latencyClass = LatencyClass(aRequest);
  const LatencyModel& model = ModelOf(latencyClass, aRequest.latencyObjective);
  ServerState& server = servers_[aServer];
  const auto queued = std::max<std::int64_t>(
    static_cast<std::int64_t>(server.pending.size()) - server.slots + 1, 0);
  const std::uint64_t ticket = ++nextTicket_;
  tickets_.emplace(ticket,
                   PendingAttempt{ aServer,
                                   server.startedAt,
                                   aRequest.service,
                                   aRequest.host,
                                   latencyClass,
                                   aRequest.purpose,
                                   false,
                                   false,
                                   aNow,
                                   aNow + model.Mean() * queued / server.slots,
                                   aNow + aRequest.remaining + kReportGrace });
  server.pending.push_back(ticket);
  server.idleConnections.OnAttemptStarted(aRequest.host);
  server.chosenAt = aNow;
  return ticket;
}

double
BackendSelector::ExtraAttemptReserve(const SelectionRequest& aRequest,
                                     double aAllowed,
                                     Instant aNow)
{
  const LatencyModel& model =
    ModelOf(LatencyClass(aRequest), aRequest.latencyObjective);
  const double left = extraAttemptOrders_[aRequest.service].OnRequested(
    { aRequest.purpose,
      aRequest.priority,
      1 - model.Survival(aRequest.remaining) },
    aNow);
  const double leftShare = aAllowed > left ? left / aAllowed : 1;
  return aRequest.purpose == AttemptPurpose::Hedge
           ? std::max(leftShare, HedgeReserve(aRequest, aNow))
           : leftShare;
}

double
BackendSelector::HedgeReserve(const SelectionRequest& aRequest,
                              Instant aNow) const
{
  double unhealthyProbability = 0;
  for (const std::string& server : aRequest.excluded) {
    unhealthyProbability =
      std::max(unhealthyProbability, UnhealthyProbability(server, aNow));
  }
  return kHedgeReserve * (1 - unhealthyProbability);
}

void
BackendSelector::UpdateFailingShare(const PendingAttempt& aAttempt,
                                    AttemptResult aResult)
{
  // Attempts at suspected servers fail often and must not cause more of them.
  if (!aAttempt.wasServerHealthy || aResult == AttemptResult::Unused ||
      aResult == AttemptResult::Abandoned) {
    return;
  }
  double& share = failingShares_[aAttempt.service];
  const double failed = aResult == AttemptResult::Responded ? 0 : 1;
  share += (failed - share) * kFailureWeight;
}

double
BackendSelector::ExpectedCost(const SelectionRequest& aRequest,
                              const BackendServerRecord& aRecord,
                              ServerState& aServer,
                              const ServiceEstimate& aService,
                              Instant aNow)
{
  const double pendingEvidence = PendingEvidence(aServer, aNow);
  const double unhealthyProbability =
    aServer.health.UnhealthyProbability(pendingEvidence, aNow);
  if (aServer.health.UpdateEpisode(pendingEvidence, aNow)) {
    LogEvent(
      LogLevel::Info,
      "backend_server_suspected",
      { { "server", aRecord.id },
        { "service", aRecord.service },
        { "pending", aServer.pending.size() },
        { "pending_evidence", fmt::format("{:.1f}", pendingEvidence) },
        { "probability", fmt::format("{:.2f}", unhealthyProbability) } });
  }
  const ServerEstimate estimate{
    unhealthyProbability,     static_cast<int>(aServer.pending.size()),
    aNow < aServer.fullUntil, aServer.slowness,
    aNow - aServer.chosenAt,  HasIdleConnection(aRequest, aServer, aNow)
  };
  return ServerCost(aRequest, aRecord, estimate, aService, aNow) +
         kJitter * random_.Uniform();
}

bool
BackendSelector::HasIdleConnection(const SelectionRequest& aRequest,
                                   const ServerState& aServer,
                                   Instant aNow)
{
  // Hosts open a new connection for a request that must not run twice unless
  // its server has responded recently.
  return (aRequest.isIdempotent ||
          aNow - aServer.respondedAt < kRecentResponseTime) &&
         aServer.idleConnections.Has(aRequest.host, aNow);
}

ServiceEstimate
BackendSelector::EstimateService(const SelectionRequest& aRequest)
{
  const LatencyModel& model =
    ModelOf(LatencyClass(aRequest), aRequest.latencyObjective);
  const auto failing = failingShares_.find(aRequest.service);
  return { model.Mean(),
           failing == failingShares_.end() ? 0 : failing->second };
}

double
BackendSelector::PendingEvidence(const ServerState& aServer, Instant aNow) const
{
  double evidence = 0;
  for (const std::uint64_t ticket : aServer.pending) {
    const auto attempt = tickets_.find(ticket);
    if (attempt == tickets_.end()) {
      continue;
    }
    const auto model = models_.find(attempt->second.latencyClass);
    if (model == models_.end()) {
      continue;
    }
    const Instant until = RunningUntil(attempt->second.host, aNow);
    evidence +=
      AgeEvidence(model->second,
                  std::max(until - attempt->second.startAt, Duration::zero()));
  }
  return std::min(evidence, kMaxPendingEvidence);
}

Instant
BackendSelector::RunningUntil(const std::string& aHost, Instant aNow) const
{
  const auto message = lastMessageAt_.find(aHost);
  return message == lastMessageAt_.end()
           ? aNow
           : std::min(aNow, message->second + kSilentHostTime);
}

void
BackendSelector::OnHostMessage(const std::string& aHost, Instant aNow)
{
  if (lastMessageAt_.size() >= kMaxHosts) {
    lastMessageAt_.clear();
  }
  lastMessageAt_.insert_or_assign(aHost, aNow);
}

void
BackendSelector::OnReport(std::uint64_t aTicket, Instant aNow)
{
  const auto attempt = tickets_.find(aTicket);
  if (attempt != tickets_.end()) {
    OnHostMessage(attempt->second.host, aNow);
  }
}

void
BackendSelector::Finish(std::uint64_t aTicket,
                        AttemptResult aResult,
                        Instant aNow)
{
  const auto node = tickets_.extract(aTicket);
  if (node.empty()) {
    return;
  }
  const PendingAttempt& attempt = node.mapped();
  UpdateBudget(attempt, aResult, aNow);
  UpdateFailingShare(attempt, aResult);
  const auto found = servers_.find(attempt.server);
  if (found == servers_.end() ||
      found->second.startedAt != attempt.serverStartedAt) {
    // The result says nothing about a later run of the server.
    return;
  }
  ServerState& server = found->second;
  RemovePending(server, aTicket);
  const auto model = models_.find(attempt.latencyClass);
  if (aResult == AttemptResult::Unused || model == models_.end()) {
    return;
  }
  if (HasWholeResponse(aResult)) {
    server.idleConnections.OnResponse(attempt.host, aNow);
  }
  if (aResult == AttemptResult::Responded) {
    server.respondedAt = aNow;
  }
  // Excludes the time spent queued behind other attempts.
  const Duration latency = std::max(aNow - attempt.startAt, Duration::zero());
  const double survival = model->second.Survival(latency);
  if (aResult == AttemptResult::Responded) {
    // A very late response indicates a slow server rather than a healthy one.
    const double lateness = std::max(-std::log(survival) - 2.5, 0.0);
    server.health.ObserveResponse(
      attempt.sentAt, LogLikelihoodOf(aResult) + lateness, aNow);
    const double typical = Milliseconds(model->second.Mean()).count();
    const double ratio =
      std::clamp(Milliseconds(latency).count() / std::max(typical, 1.0),
                 0.2,
                 kMaxSlowness);
    server.slowness += (ratio - server.slowness) * kSlownessWeight;
    model->second.Add(latency);
    return;
  }
  double evidence = LogLikelihoodOf(aResult);
  if (aResult == AttemptResult::Abandoned ||
      aResult == AttemptResult::NoResponse) {
    const double age = AgeEvidence(model->second, latency);
    evidence = aResult == AttemptResult::Abandoned ? age * kAbandonedWeight
                                                   : std::max(evidence, age);
  }
  if (aResult == AttemptResult::NotExecuted) {
    server.fullUntil = aNow + kFullTime;
  }
  if (evidence > 0) {
    const bool isSameReporter = server.badReporter == attempt.host &&
                                aNow - server.badReportAt < kSameReporterTime;
    server.badReporter = attempt.host;
    server.badReportAt = aNow;
    server.health.Observe(
      isSameReporter ? evidence * kSameReporterWeight : evidence, aNow);
  }
}

void
BackendSelector::UpdateBudget(const PendingAttempt& aAttempt,
                              AttemptResult aResult,
                              Instant aNow)
{
  if (!aAttempt.isChosenLocally) {
    return;
  }
  ExtraAttemptBudget& budget = BudgetOf(aAttempt.service);
  // A selection that arrived too late was replaced by that of another host,
  // which counts the request.
  if (aResult != AttemptResult::Unused &&
      aAttempt.purpose == AttemptPurpose::First) {
    budget.OnRequest(aNow);
  }
  if (IsExtraAttempt(aAttempt.purpose) &&
      (aResult == AttemptResult::Unused ||
       aResult == AttemptResult::Unreachable)) {
    budget.OnExtraAttemptUnused(aAttempt.sentAt);
  }
}

void
BackendSelector::DropOverdue(Instant aNow)
{
  while (!tickets_.empty()) {
    const auto oldest = tickets_.begin();
    if (oldest->second.dropAt > aNow) {
      return;
    }
    const auto server = servers_.find(oldest->second.server);
    if (server != servers_.end()) {
      RemovePending(server->second, oldest->first);
    }
    LogEvent(
      LogLevel::Info,
      "attempt_report_missing",
      { { "server", oldest->second.server }, { "host", oldest->second.host } });
    tickets_.erase(oldest);
  }
}

double
BackendSelector::UnhealthyProbability(std::string_view aServer,
                                      Instant aNow) const
{
  const auto server = servers_.find(std::string(aServer));
  return server == servers_.end()
           ? 0
           : server->second.health.UnhealthyProbability(
               PendingEvidence(server->second, aNow), aNow);
}

ExtraAttemptBudget&
BackendSelector::BudgetOf(const std::string& aService)
{
  return budgets_.try_emplace(aService, budgetLimits_).first->second;
}

LatencyModel&
BackendSelector::ModelOf(const std::string& aClass, Duration aObjective)
{
  return models_.try_emplace(aClass, aObjective).first->second;
}

void
BackendSelector::RemovePending(ServerState& aServer, std::uint64_t aTicket)
{
  std::erase(aServer.pending, aTicket);
}

} // namespace filbertbeam
