#include "balancing/SelectionService.h"

#include "balancing/BurstDivision.h"
#include "base/Log.h"
#include "base/SeededRandom.h"

#include <algorithm>
#include <numeric>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// A round trip between failure domains takes about 11 ms. The rest allows for
// hosts that are throttled after using up their processor quota for a 100 ms
// period.
constexpr milliseconds kResponseTimeout{ 100 };
constexpr milliseconds kReportResendDelay{ 100 };
constexpr milliseconds kRepeatCheckInterval{ 50 };
// Maximum number of timed out queries that are kept to log late responses.
constexpr std::size_t kMaxTimedOutQueries = 64;

} // namespace

std::unique_ptr<SelectionService>
SelectionService::Create(const SelectionServiceSettings& aSettings,
                         const Clock& aClock,
                         Random& aRandom,
                         std::string& aReason)
{
  std::unique_ptr<SelectionService> service(
    new SelectionService(aSettings, aClock, aRandom));
  service->socket_ = DatagramSocket::Create(aSettings.listen, aReason);
  if (!service->socket_) {
    return nullptr;
  }
  SelectionService* self = service.get();
  service->socket_->SetHandler(
    [self](const Endpoint& aSender, ByteView aBytes) {
      self->OnDatagram(aSender, aBytes);
    });
  return service;
}

SelectionService::SelectionService(const SelectionServiceSettings& aSettings,
                                   const Clock& aClock,
                                   Random& aRandom)
  : settings_(aSettings)
  , clock_(aClock)
  , random_(aRandom)
  , ranking_(aSettings.host, aSettings.processorCores)
  , quota_(aSettings.host,
           aSettings.domain,
           aSettings.processorCores,
           aSettings.quota,
           aClock,
           *this)
  , selector_(aSettings.budget, aRandom)
  , ownerQueue_(selector_)
  , directory_(
      std::make_shared<BackendDirectory>(0, std::vector<BackendServerRecord>()))
  // Prevents responses to queries of an earlier run of this host from matching
  // new ones. The ids affect no decision, so no seed needs to reproduce them.
  , nextQueryId_((SeededRandom().Next() >> 24) << 16)
{
  queryTimer_.setSingleShot(true);
  queryTimer_.setTimerType(Qt::PreciseTimer);
  queryTimer_.callOnTimeout([this] { OnQueryTimeout(); });
  servingTimer_.setSingleShot(true);
  servingTimer_.setTimerType(Qt::PreciseTimer);
  servingTimer_.callOnTimeout([this] { ServeWaiting(); });
  repeatTimer_.setInterval(kRepeatCheckInterval);
  repeatTimer_.callOnTimeout([this] { RepeatWaitingQueries(); });
  reportTimer_.setSingleShot(true);
  reportTimer_.callOnTimeout([this] { ResendReports(); });
}

void
SelectionService::SetHosts(std::vector<PeerHost> aHosts)
{
  quota_.SetHosts(aHosts);
  for (const PeerHost& host : ranking_.SetHosts(std::move(aHosts))) {
    socket_->Send(host.address, EncodeAnnouncement());
  }
  UpdateBurstShares();
}

void
SelectionService::SendQuota(const Endpoint& aReceiver, const QuotaQuery& aQuery)
{
  socket_->Send(aReceiver, EncodeSelectionMessage(aQuery));
}

void
SelectionService::SendQuota(const Endpoint& aReceiver,
                            const QuotaResponse& aResponse)
{
  socket_->Send(aReceiver, EncodeSelectionMessage(aResponse));
}

std::string
SelectionService::EncodeAnnouncement(bool aIsResponseWanted) const
{
  return EncodeSelectionMessage(HostAnnouncement{ settings_.host,
                                                  settings_.domain,
                                                  settings_.processorCores,
                                                  aIsResponseWanted });
}

void
SelectionService::ProbeHosts(std::span<const PeerHost> aHosts)
{
  for (const PeerHost& host : aHosts) {
    socket_->Send(host.address, EncodeAnnouncement(true));
  }
}

void
SelectionService::SendHeartbeat(const WatcherHeartbeat& aHeartbeat)
{
  const std::string message = EncodeSelectionMessage(aHeartbeat);
  for (const PeerHost& host : ranking_.Hosts()) {
    if (host.domain == settings_.domain && host.name != settings_.host) {
      socket_->Send(host.address, message);
    }
  }
}

void
SelectionService::SetDirectory(
  const std::shared_ptr<const BackendDirectory>& aDirectory)
{
  selector_.SetDirectory(aDirectory);
  directory_ = aDirectory;
  UpdateBurstShares();
}

void
SelectionService::SetBudget(const ExtraAttemptLimits& aBudget)
{
  selector_.SetBudget(aBudget);
}

void
SelectionService::UpdateBurstShares()
{
  // A host without a host list would take the shares of all hosts.
  if (!ranking_.HasHostList()) {
    return;
  }
  const Instant now = clock_.Now();
  for (const std::string_view service : directory_->Services()) {
    const BurstPart part =
      DivideBurst(ranking_, service, directory_->ShardCount(service));
    selector_.SetBurstShare(
      std::string(service), part.share, part.immediateShare, now);
  }
}

Shard
SelectionService::ChooseShard(const SelectionRequest& aRequest)
{
  // Only the owner of the server that is slow to respond has the evidence to
  // estimate its health.
  if (aRequest.purpose == AttemptPurpose::Hedge && !aRequest.excluded.empty()) {
    return directory_->ShardOf(aRequest.service, aRequest.excluded.back());
  }
  const std::span<const int> slots =
    directory_->SlotsOfShards(aRequest.service);
  Shard shard{ 0, directory_->ShardCount(aRequest.service) };
  const int total = std::accumulate(slots.begin(), slots.end(), 0);
  if (total <= 0) {
    return shard;
  }
  auto left =
    static_cast<int>(random_.Below(static_cast<std::uint64_t>(total)));
  for (const int count : slots) {
    if (left < count) {
      break;
    }
    left -= count;
    ++shard.index;
  }
  return shard;
}

std::uint64_t
SelectionService::Select(SelectionRequest aRequest, Callback aCallback)
{
  const std::uint64_t queryId = nextQueryId_++;
  aRequest.host = settings_.host;
  aRequest.domain = settings_.domain;
  aRequest.shard = ChooseShard(aRequest);
  const PeerHost* owner =
    ranking_.OwnerOf(aRequest.service, aRequest.shard.index, clock_.Now());
  if (owner == nullptr) {
    OfferLocally(queryId, aRequest, std::move(aCallback));
    return queryId;
  }
  socket_->Send(
    owner->address,
    EncodeSelectionMessage(SelectionQuery{ queryId, aRequest, known_ }));
  pendingQueries_.emplace(queryId,
                          PendingQuery{ std::move(aRequest),
                                        std::move(aCallback),
                                        owner->name,
                                        owner->address,
                                        clock_.Now() + kResponseTimeout });
  ScheduleTimeout();
  return queryId;
}

SelectionOutcome
SelectionService::SelectWithoutOwner(SelectionRequest aRequest)
{
  aRequest.host = settings_.host;
  aRequest.domain = settings_.domain;
  aRequest.shard = {};
  return SelectLocally(aRequest, "alone");
}

SelectionOutcome
SelectionService::SelectLocally(const SelectionRequest& aRequest,
                                std::string_view aSource)
{
  return LocalOutcome(selector_.Select(aRequest, clock_.Now()), aSource);
}

SelectionOutcome
SelectionService::LocalOutcome(const SelectionResult& aResult,
                               std::string_view aSource)
{
  SelectionOutcome outcome;
  outcome.result = aResult;
  outcome.source = aSource;
  if (outcome.result.selection) {
    outcome.handle.localTicket = outcome.result.selection->ticket;
  }
  return outcome;
}

void
SelectionService::Finish(const SelectionHandle& aHandle, AttemptResult aResult)
{
  if (aHandle.ownerTicket != 0) {
    Report(aHandle.owner, { aHandle.ownerTicket, aResult });
  }
  selector_.Finish(aHandle.localTicket, aResult, clock_.Now());
  ScheduleServing();
}

void
SelectionService::Report(const Endpoint& aOwner, const TicketResult& aResult)
{
  socket_->Send(aOwner, EncodeSelectionMessage(SelectionReport{ { aResult } }));
  auto reported =
    std::ranges::find_if(reportsToResend_, [&](const auto& aItem) {
      return aItem.first == aOwner &&
             aItem.second.results.size() < SelectionReport::kMaxResults;
    });
  if (reported == reportsToResend_.end()) {
    reported = reportsToResend_.insert(reported, { aOwner, {} });
  }
  reported->second.results.push_back(aResult);
  if (!reportTimer_.isActive()) {
    reportTimer_.start(kReportResendDelay);
  }
}

void
SelectionService::ResendReports()
{
  // If a report is lost, the attempt stays pending at the owner, which then
  // suspects that the server does not respond.
  for (const auto& [owner, report] : reportsToResend_) {
    socket_->Send(owner, EncodeSelectionMessage(report));
  }
  reportsToResend_.clear();
}

void
SelectionService::OnDatagram(const Endpoint& aSender, ByteView aBytes)
{
  const std::optional<SelectionMessage> message =
    DecodeSelectionMessage(aBytes);
  if (!message) {
    LogEvent(LogLevel::Warning,
             "selection_message_malformed",
             { { "sender", aSender.address }, { "bytes", aBytes.size() } });
    return;
  }
  if (const auto* query = std::get_if<SelectionQuery>(&*message)) {
    OnQuery(aSender, *query);
  } else if (const auto* response = std::get_if<SelectionResponse>(&*message)) {
    OnResponse(aSender, *response);
  } else if (const auto* report = std::get_if<SelectionReport>(&*message)) {
    OnReport(*report);
  } else if (const auto* cancellation =
               std::get_if<SelectionCancellation>(&*message)) {
    OnCancellation(aSender, *cancellation);
  } else if (const auto* announcement =
               std::get_if<HostAnnouncement>(&*message)) {
    OnAnnouncement(aSender, *announcement);
  } else if (const auto* heartbeat = std::get_if<WatcherHeartbeat>(&*message)) {
    if (onHeartbeat_) {
      onHeartbeat_(*heartbeat, aSender);
    }
  } else if (const auto* demand = std::get_if<QuotaQuery>(&*message)) {
    quota_.OnQuery(aSender, *demand);
  } else if (const auto* grants = std::get_if<QuotaResponse>(&*message)) {
    quota_.OnResponse(aSender, *grants);
  }
}

void
SelectionService::OnAnnouncement(const Endpoint& aSender,
                                 const HostAnnouncement& aAnnouncement)
{
  quota_.OnPeer(aAnnouncement.host,
                aAnnouncement.domain,
                aSender,
                aAnnouncement.processorCores);
  if (ranking_.OnPeerMessage(aAnnouncement.host,
                             aAnnouncement.domain,
                             aSender,
                             aAnnouncement.processorCores)) {
    UpdateBurstShares();
  }
  if (aAnnouncement.isResponseWanted) {
    socket_->Send(aSender, EncodeAnnouncement());
  }
  if (onAnnouncement_) {
    onAnnouncement_(aAnnouncement.host);
  }
}

void
SelectionService::OnQuery(const Endpoint& aSender, const SelectionQuery& aQuery)
{
  ranking_.OnPeerMessage(aQuery.request.host, aQuery.request.domain, aSender);
  quota_.OnPeer(aQuery.request.host, aQuery.request.domain, aSender);
  const Instant now = clock_.Now();
  selector_.OnHostMessage(aQuery.request.host, now);
  OnVersions(aQuery.known, aSender);
  if (const auto queued = FindQueued(aSender, aQuery.queryId)) {
    ownerQueue_.KeepWaiting(*queued, now);
    RespondWaiting(aSender, aQuery.queryId);
    return;
  }
  // A repeat of a query whose response was lost.
  OnCancellation(aSender, { aQuery.queryId });
  const auto queued = ownerQueue_.Offer(
    aQuery.request,
    [this, aSender, queryId = aQuery.queryId](const SelectionResult& aResult) {
      Respond(aSender, queryId, aResult);
    },
    now);
  if (queued) {
    queuedQueries_.emplace(*queued, QueuedQuery{ aQuery.queryId, aSender });
    RespondWaiting(aSender, aQuery.queryId);
    ScheduleServing();
  }
}

void
SelectionService::OnReport(const SelectionReport& aReport)
{
  const Instant now = clock_.Now();
  for (const TicketResult& result : aReport.results) {
    selector_.OnReport(result.ticket, now);
    selector_.Finish(result.ticket, result.result, now);
  }
  ScheduleServing();
}

void
SelectionService::OnCancellation(const Endpoint& aSender,
                                 const SelectionCancellation& aCancellation)
{
  if (CancelQueued(aSender, aCancellation.queryId)) {
    return;
  }
  const auto query =
    std::ranges::find_if(answeredQueries_, [&](const AnsweredQuery& aQuery) {
      return aQuery.queryId == aCancellation.queryId &&
             aQuery.requester == aSender;
    });
  if (query != answeredQueries_.end()) {
    selector_.Finish(query->ticket, AttemptResult::Unused, clock_.Now());
    answeredQueries_.erase(query);
    ScheduleServing();
  }
}

void
SelectionService::OnVersions(const KnownVersions& aKnown,
                             const Endpoint& aSender)
{
  if (onNewerVersions_ && (aKnown.configuration > known_.configuration ||
                           aKnown.directory > known_.directory)) {
    onNewerVersions_(aKnown, aSender);
  }
}

void
SelectionService::OnResponse(const Endpoint& aSender,
                             const SelectionResponse& aResponse)
{
  OnVersions(aResponse.known, aSender);
  if (aResponse.isWaiting &&
      waitingQueries_.OnStillWaiting(aResponse.queryId)) {
    return;
  }
  auto node = pendingQueries_.extract(aResponse.queryId);
  std::optional<PendingQuery> found =
    node.empty() ? waitingQueries_.Take(aResponse.queryId)
                 : std::optional(std::move(node.mapped()));
  if (!found) {
    // The request was served without this response.
    OnLateResponse(aSender, aResponse);
    return;
  }
  PendingQuery& query = *found;
  ranking_.OnResponse(query.owner);
  if (aResponse.isWaiting) {
    waitingQueries_.Add(aResponse.queryId, std::move(query), clock_.Now());
    repeatTimer_.start();
    ScheduleTimeout();
    return;
  }
  SelectionOutcome outcome;
  outcome.result = aResponse.result;
  outcome.source = "owner";
  if (aResponse.result.selection) {
    outcome.handle.owner = aSender;
    outcome.handle.ownerTicket = aResponse.result.selection->ticket;
    outcome.handle.localTicket = selector_.Track(
      query.request, aResponse.result.selection->backendServer, clock_.Now());
  }
  query.callback(outcome);
}

void
SelectionService::OnLateResponse(const Endpoint& aSender,
                                 const SelectionResponse& aResponse)
{
  const auto timedOut = timedOutQueries_.extract(aResponse.queryId);
  if (!timedOut.empty()) {
    const TimedOutQuery& query = timedOut.mapped();
    LogEvent(
      LogLevel::Info,
      "owner_answer_late",
      { { "owner", query.owner },
        { "ms",
          std::chrono::duration_cast<milliseconds>(clock_.Now() - query.sentAt)
            .count() } });
  }
  if (aResponse.isWaiting) {
    socket_->Send(
      aSender,
      EncodeSelectionMessage(SelectionCancellation{ aResponse.queryId }));
  }
  if (aResponse.result.selection) {
    Report(aSender,
           { aResponse.result.selection->ticket, AttemptResult::Unused });
  }
}

void
SelectionService::OnQueryTimeout()
{
  const Instant now = clock_.Now();
  while (!pendingQueries_.empty() &&
         pendingQueries_.begin()->second.dueAt <= now) {
    const auto node = pendingQueries_.extract(pendingQueries_.begin());
    const PendingQuery& query = node.mapped();
    ranking_.OnMissedResponse(query.owner, now);
    // The response with the ticket may have been lost.
    socket_->Send(query.address,
                  EncodeSelectionMessage(SelectionCancellation{ node.key() }));
    timedOutQueries_.emplace(
      node.key(), TimedOutQuery{ query.owner, query.dueAt - kResponseTimeout });
    if (timedOutQueries_.size() > kMaxTimedOutQueries) {
      timedOutQueries_.erase(timedOutQueries_.begin());
    }
    query.callback(SelectWithoutOwner(query.request));
  }
  ScheduleTimeout();
}

void
SelectionService::ScheduleTimeout()
{
  if (pendingQueries_.empty()) {
    queryTimer_.stop();
    return;
  }
  const auto left = std::chrono::ceil<milliseconds>(
    pendingQueries_.begin()->second.dueAt - clock_.Now());
  queryTimer_.start(std::max(left, milliseconds(0)));
}

} // namespace filbertbeam
