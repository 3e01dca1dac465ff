#include "balancing/BackendSelector.h"

#include "base/Log.h"

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Milliseconds = std::chrono::duration<double, std::milli>;

// Costs are in milliseconds of the caller's time.

// Bytes between failure domains are dear: a large response from another domain
// costs about a third of what the request is worth.
constexpr double kOtherDomainCost = 30;
constexpr double kOtherDomainLargeCost = 350;
// A failed request costs its caller this many latency objectives. An idempotent
// one gets a second attempt.
constexpr double kFailureObjectives = 3.0;
constexpr double kIdempotentFailureObjectives = 1.0;
// Cost of a server to which the path from the asking host seems broken.
constexpr double kAvoidedObjectives = 2.0;
// Spreads requests over servers that are equally good.
constexpr double kJitter = 12;
// Every server that is not under suspicion gets a request within this time, so
// that the belief in it stays fresh and no healthy server stays without work.
constexpr milliseconds kRotationTime{ 1'000 };
// Requests from other domains keep up the rotation only after this.
constexpr milliseconds kOtherDomainRotationTime{ 1'400 };
constexpr double kRotationCost = -10'000;
// While a larger share of the attempts at servers without suspicion fails,
// suspicion is no reason to leave a server without work: those under suspicion
// that have no request under way get one again after this time.
constexpr double kTroubledShare = 0.1;
constexpr milliseconds kTrialTime{ 1'600 };
// Weight of one attempt in the share of those that fail.
constexpr double kFailureWeight = 1.0 / 128;
constexpr double kMaxSickForRotation = 0.4;
constexpr double kMaxSickForIdempotentRotation = 0.7;
// Cost of each request under way, in mean latencies of a whole server.
constexpr double kBusyLatencies = 0.12;
// Servers that are slower than this, by mean latencies, are chosen less.
constexpr double kTolerableSlowness = 1.25;
// Cost of a queue, in mean latencies, before and for each slot's worth of
// requests: what waits there is lost when the server turns sick.
constexpr double kQueueBase = 0.4;
constexpr double kQueueFactor = 1.6;
// Cost of a server whose slots are all but one in use, in mean latencies:
// servers slow down when they are nearly full.
constexpr double kNearlyFull = 0.12;
// A cold server takes about twice as long.
constexpr double kColdLatencies = 1.0;

// Evidence of one pending attempt and of all of a server, at most.
constexpr double kMaxAttemptEvidence = 4.5;
constexpr double kMaxPendingEvidence = 8;
// Probability that a sick server does not answer.
constexpr double kSickHolds = 0.8;
// Repeated bad reports of one host within this time count little: its path to
// the server may be broken.
constexpr seconds kSameReporterTime{ 3 };
constexpr double kSameReporterWeight = 0.25;
// An attempt that nobody waits for any more says less than its age does.
constexpr double kAbandonedWeight = 0.8;

// A server that refused for want of room counts as full for this long.
constexpr milliseconds kFullTime{ 150 };
// Reports come with the end of the attempt; after this they are lost.
constexpr seconds kReportGrace{ 1 };
// Of the budget, kept for attempts after a failure while a hedge would leave a
// server that seems healthy.
constexpr double kHedgeReserve = 0.5;
// Weight of one response in a server's slowness.
constexpr double kSlownessWeight = 0.12;
constexpr double kMaxSlowness = 8;
constexpr milliseconds kShortestHedge{ 60 };
// A server that ended without notice is found within about this time by the
// requests of all hosts.
constexpr milliseconds kConfirmedTime{ 600 };
constexpr milliseconds kRetryAfter{ 150 };

std::string
LatencyClass(const SelectionRequest& aRequest)
{
  return aRequest.service + '/' + aRequest.route;
}

// What it says about a server that it has not answered for aAge.
double
AgeEvidence(const LatencyModel& aModel, Duration aAge)
{
  return std::clamp(
    std::log(kSickHolds / aModel.Survival(aAge)), 0.0, kMaxAttemptEvidence);
}

// Early enough that a second attempt still meets the objective, but not before
// most healthy servers would have answered.
Duration
HedgeTime(const LatencyModel& aModel, Duration aObjective)
{
  const Duration typical = aModel.Quantile(0.5);
  const Duration early = aModel.Quantile(0.75);
  const Duration late = std::max(early, aModel.Quantile(0.97));
  const Duration wanted = aObjective - typical * 3 / 2;
  return std::max<Duration>(std::clamp(wanted, early, late), kShortestHedge);
}

} // namespace

BackendSelector::BackendSelector(const RepeatBudgetLimits& aBudget,
                                 Random& aRandom)
  : budgetLimits_(aBudget)
  , random_(aRandom)
  , directory_(
      std::make_shared<BackendDirectory>(0, std::vector<BackendServerRecord>()))
  // A restarted host must not take reports on its earlier tickets.
  , nextTicket_((aRandom.Next() >> 24) << 16)
{
}

void
BackendSelector::SetBudget(const RepeatBudgetLimits& aBudget)
{
  budgetLimits_ = aBudget;
  for (auto& [service, budget] : budgets_) {
    budget.SetLimits(aBudget);
  }
}

void
BackendSelector::SetBurstShare(const std::string& aService,
                               double aShare,
                               double aAtOnce,
                               Instant aNow)
{
  BudgetOf(aService).SetBurstShare(aShare, aAtOnce, aNow);
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
  const BackendServerRecord* best =
    FindBest(aRequest,
             directory_->ServersOfShard(aRequest.service, aRequest.shard),
             model,
             aNow);
  if (best == nullptr) {
    best = FindBest(
      aRequest, directory_->ServersOfService(aRequest.service), model, aNow);
  }
  if (best == nullptr) {
    return { std::nullopt, "no-backend-server", kRetryAfter };
  }
  if (IsRepeat(aRequest.purpose) && !TryRepeat(aRequest, aNow)) {
    return { std::nullopt, "no-repeat-budget", kRetryAfter };
  }
  const bool isSound = SickProbability(best->id, aNow) < kMaxSickForRotation;
  const std::uint64_t ticket = Track(aRequest, best->id, aNow);
  PendingAttempt& attempt = tickets_.at(ticket);
  attempt.isChosenHere = true;
  attempt.isAtSoundServer = isSound;
  return { Selection{ ticket,
                      best->id,
                      HedgeTime(model, aRequest.latencyObjective),
                      aNow - servers_[best->id].answeredAt < kConfirmedTime },
           {},
           {} };
}

const BackendServerRecord*
BackendSelector::FindBest(const SelectionRequest& aRequest,
                          std::span<const BackendServerRecord* const> aServers,
                          const LatencyModel& aModel,
                          Instant aNow)
{
  const BackendServerRecord* best = nullptr;
  double bestCost = 0;
  for (const BackendServerRecord* record : aServers) {
    if (record->isDraining ||
        std::ranges::find(aRequest.excluded, record->id) !=
          aRequest.excluded.end()) {
      continue;
    }
    const double cost =
      ExpectedCost(aRequest, *record, servers_[record->id], aModel, aNow);
    if (best == nullptr || cost < bestCost) {
      best = record;
      bestCost = cost;
    }
  }
  return best;
}

bool
BackendSelector::TryRepeat(const SelectionRequest& aRequest, Instant aNow)
{
  RepeatBudget& budget = BudgetOf(aRequest.service);
  const double reserve = RepeatReserve(aRequest, aNow);
  const bool isGranted = budget.TryRepeat(reserve, aNow);
  const RepeatBudgetUse use = budget.Use(aNow);
  LogEvent(LogLevel::Info,
           "repeat_decided",
           { { "service", aRequest.service },
             { "for", aRequest.host },
             { "hedge", aRequest.purpose == AttemptPurpose::Hedge },
             { "granted", isGranted },
             { "requests", use.requests },
             { "repeats", use.repeats },
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
  server.chosenAt = aNow;
  return ticket;
}

double
BackendSelector::RepeatReserve(const SelectionRequest& aRequest,
                               Instant aNow) const
{
  if (aRequest.purpose != AttemptPurpose::Hedge) {
    return 0;
  }
  double sick = 0;
  for (const std::string& server : aRequest.excluded) {
    sick = std::max(sick, SickProbability(server, aNow));
  }
  return kHedgeReserve * (1 - sick);
}

bool
BackendSelector::IsRotationDue(const SelectionRequest& aRequest,
                               const BackendServerRecord& aRecord,
                               const ServerState& aServer,
                               double aSick,
                               Instant aNow) const
{
  const bool isNear = aRecord.domain == aRequest.domain;
  if (aRequest.purpose != AttemptPurpose::First ||
      (!isNear && aRequest.hasLargeResponses)) {
    return false;
  }
  const Duration idle = aNow - aServer.chosenAt;
  const double limit =
    aRequest.isIdempotent ? kMaxSickForIdempotentRotation : kMaxSickForRotation;
  if (aSick < limit) {
    return idle > (isNear ? kRotationTime : kOtherDomainRotationTime);
  }
  const auto failing = failingShares_.find(aRequest.service);
  return failing != failingShares_.end() && failing->second > kTroubledShare &&
         aServer.pending.empty() && idle > kTrialTime;
}

void
BackendSelector::ObserveFailure(const PendingAttempt& aAttempt,
                                AttemptResult aResult)
{
  // Trials fail often, and must not call for further ones.
  if (!aAttempt.isAtSoundServer || aResult == AttemptResult::Unused ||
      aResult == AttemptResult::Abandoned) {
    return;
  }
  double& share = failingShares_[aAttempt.service];
  const double failed = aResult == AttemptResult::Answered ? 0 : 1;
  share += (failed - share) * kFailureWeight;
}

double
BackendSelector::ExpectedCost(const SelectionRequest& aRequest,
                              const BackendServerRecord& aRecord,
                              ServerState& aServer,
                              const LatencyModel& aModel,
                              Instant aNow)
{
  const double pendingEvidence = PendingEvidence(aServer, aNow);
  const double sick = aServer.health.SickProbability(pendingEvidence, aNow);
  if (aServer.health.UpdateEpisode(pendingEvidence, aNow)) {
    LogEvent(LogLevel::Info,
             "backend_server_suspected",
             { { "server", aRecord.id },
               { "service", aRecord.service },
               { "pending", aServer.pending.size() },
               { "pending_evidence", fmt::format("{:.1f}", pendingEvidence) },
               { "probability", fmt::format("{:.2f}", sick) } });
  }
  const double objective = Milliseconds(aRequest.latencyObjective).count();
  const double mean = Milliseconds(aModel.Mean()).count();
  const double slots = std::max(aRecord.slots, 1);
  double busy = static_cast<double>(aServer.pending.size());
  if (aNow < aServer.fullUntil) {
    busy = std::max(busy, slots + 1);
  }
  double cost =
    sick * objective *
    (aRequest.isIdempotent ? kIdempotentFailureObjectives : kFailureObjectives);
  if (busy >= slots) {
    cost += mean * aServer.slowness *
            (kQueueBase + kQueueFactor * (busy - slots + 1) / slots);
  }
  if (busy + 1 >= slots) {
    cost += mean * kNearlyFull;
  }
  cost += mean * kBusyLatencies * busy / slots;
  cost += mean * std::max(aServer.slowness - kTolerableSlowness, 0.0);
  if (aNow < aRecord.warmupEndsAt) {
    cost += mean * kColdLatencies;
  }
  if (aRecord.domain != aRequest.domain) {
    cost +=
      aRequest.hasLargeResponses ? kOtherDomainLargeCost : kOtherDomainCost;
  }
  if (std::ranges::find(aRequest.avoided, aRecord.id) !=
      aRequest.avoided.end()) {
    cost += objective * kAvoidedObjectives;
  }
  if (busy < slots && IsRotationDue(aRequest, aRecord, aServer, sick, aNow)) {
    cost += kRotationCost;
  }
  return cost + kJitter * random_.Uniform();
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
    evidence += AgeEvidence(model->second, aNow - attempt->second.startAt);
  }
  return std::min(evidence, kMaxPendingEvidence);
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
  Settle(attempt, aResult, aNow);
  ObserveFailure(attempt, aResult);
  const auto found = servers_.find(attempt.server);
  if (found == servers_.end()) {
    return;
  }
  ServerState& server = found->second;
  RemovePending(server, aTicket);
  const auto model = models_.find(attempt.latencyClass);
  if (aResult == AttemptResult::Unused || model == models_.end()) {
    return;
  }
  if (aResult == AttemptResult::Answered) {
    server.answeredAt = aNow;
  }
  // Without the time that it waited behind others.
  const Duration latency = std::max(aNow - attempt.startAt, Duration::zero());
  const double survival = model->second.Survival(latency);
  if (aResult == AttemptResult::Answered) {
    // A very late response is a sign of a slow server rather than a good one.
    const double lateness = std::max(-std::log(survival) - 2.5, 0.0);
    server.health.ObserveAnswer(
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
BackendSelector::Settle(const PendingAttempt& aAttempt,
                        AttemptResult aResult,
                        Instant aNow)
{
  if (!aAttempt.isChosenHere) {
    return;
  }
  RepeatBudget& budget = BudgetOf(aAttempt.service);
  // A choice that came too late was replaced by another host's, which books
  // the request.
  if (aResult != AttemptResult::Unused &&
      aAttempt.purpose == AttemptPurpose::First) {
    budget.OnRequest(aNow);
  }
  if (IsRepeat(aAttempt.purpose) && (aResult == AttemptResult::Unused ||
                                     aResult == AttemptResult::Unreachable)) {
    budget.OnRepeatUnused(aAttempt.sentAt);
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
BackendSelector::SickProbability(std::string_view aServer, Instant aNow) const
{
  const auto server = servers_.find(std::string(aServer));
  return server == servers_.end()
           ? 0
           : server->second.health.SickProbability(
               PendingEvidence(server->second, aNow), aNow);
}

RepeatBudget&
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
