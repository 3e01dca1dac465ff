#include "balancing/SelectionService.h"

#include "base/Log.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// A round trip between failure domains is about 11 ms; the rest is for hosts
// whose processor stands still once their share of a tenth of a second is used.
constexpr milliseconds kAnswerTime{ 100 };
constexpr milliseconds kReportRepeat{ 100 };
// Withdrawals come sooner than this after the answer.
constexpr milliseconds kWithdrawalTime{ 1'000 };
// Shares of the burst of a service by rank as its owner, and the share that all
// hosts divide equally.
constexpr std::array<double, 2> kBurstShares{ 0.65, 0.15 };
constexpr double kCommonBurstShare = 0.1;
// Asks that were not answered in time and are remembered for the log.
constexpr std::size_t kMaxMissedAsks = 64;

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
  , selector_(aSettings.budget, aRandom)
  , directory_(
      std::make_shared<BackendDirectory>(0, std::vector<BackendServerRecord>()))
{
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  timer_.callOnTimeout([this] { OnAskTimeout(); });
  reportTimer_.setSingleShot(true);
  reportTimer_.callOnTimeout([this] { RepeatReports(); });
}

void
SelectionService::SetHosts(std::vector<PeerHost> aHosts)
{
  for (const PeerHost& host : ranking_.SetHosts(std::move(aHosts))) {
    socket_->Send(host.address, EncodeHello());
  }
  ShareBursts();
}

std::string
SelectionService::EncodeHello(bool aIsAnswerWanted) const
{
  return EncodeSelectionMessage(SelectionHello{ settings_.host,
                                                settings_.domain,
                                                settings_.processorCores,
                                                aIsAnswerWanted });
}

void
SelectionService::Greet(std::span<const PeerHost> aHosts)
{
  for (const PeerHost& host : aHosts) {
    socket_->Send(host.address, EncodeHello(true));
  }
}

void
SelectionService::SendBeat(const WatcherBeat& aBeat)
{
  const std::string message = EncodeSelectionMessage(aBeat);
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
  ShareBursts();
}

void
SelectionService::SetBudget(const RepeatBudgetLimits& aBudget)
{
  selector_.SetBudget(aBudget);
}

void
SelectionService::ShareBursts()
{
  // A host that knows no other would take the shares of all.
  if (!ranking_.KnowsHosts()) {
    return;
  }
  const Instant now = clock_.Now();
  const double common =
    kCommonBurstShare /
    static_cast<double>(std::max<std::size_t>(ranking_.Hosts().size(), 1));
  for (const std::string_view name : directory_->Services()) {
    const std::string service(name);
    selector_.SetBurstShare(
      service, RankedBurstShare(name) + common, common, now);
  }
}

double
SelectionService::RankedBurstShare(std::string_view aService)
{
  const std::uint32_t count = directory_->ShardCount(aService);
  double share = 0;
  for (std::uint32_t index = 0; index < count; ++index) {
    const std::size_t rank = ranking_.RankOfSelf(aService, index);
    share += rank < kBurstShares.size() ? kBurstShares[rank] : 0;
  }
  return share / count;
}

Shard
SelectionService::ChooseShard(const SelectionRequest& aRequest)
{
  // Only the owner of the server that takes long knows how sick it is.
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

void
SelectionService::Select(SelectionRequest aRequest, Callback aCallback)
{
  aRequest.host = settings_.host;
  aRequest.domain = settings_.domain;
  aRequest.shard = ChooseShard(aRequest);
  const PeerHost* owner =
    ranking_.OwnerOf(aRequest.service, aRequest.shard.index, clock_.Now());
  if (owner == nullptr) {
    aCallback(ChooseHere(aRequest, "self"));
    return;
  }
  const std::uint64_t call = nextCall_++;
  socket_->Send(owner->address,
                EncodeSelectionMessage(SelectionAsk{ call, aRequest, known_ }));
  asks_.emplace(call,
                PendingAsk{ std::move(aRequest),
                            std::move(aCallback),
                            owner->name,
                            owner->address,
                            clock_.Now() + kAnswerTime });
  ScheduleTimeout();
}

SelectionOutcome
SelectionService::SelectAlone(SelectionRequest aRequest)
{
  aRequest.host = settings_.host;
  aRequest.domain = settings_.domain;
  aRequest.shard = {};
  return ChooseHere(aRequest, "alone");
}

SelectionOutcome
SelectionService::ChooseHere(const SelectionRequest& aRequest,
                             std::string_view aSource)
{
  SelectionOutcome outcome;
  outcome.result = selector_.Select(aRequest, clock_.Now());
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
}

void
SelectionService::Report(const Endpoint& aOwner, const TicketResult& aResult)
{
  socket_->Send(aOwner, EncodeSelectionMessage(SelectionReport{ { aResult } }));
  auto reported = std::ranges::find_if(reported_, [&](const auto& aItem) {
    return aItem.first == aOwner &&
           aItem.second.results.size() < SelectionReport::kMaxResults;
  });
  if (reported == reported_.end()) {
    reported = reported_.insert(reported, { aOwner, {} });
  }
  reported->second.results.push_back(aResult);
  if (!reportTimer_.isActive()) {
    reportTimer_.start(kReportRepeat);
  }
}

void
SelectionService::RepeatReports()
{
  // A report that is lost leaves its attempt under way at the owner, which
  // takes the server for one that does not answer.
  for (const auto& [owner, report] : reported_) {
    socket_->Send(owner, EncodeSelectionMessage(report));
  }
  reported_.clear();
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
  if (const auto* ask = std::get_if<SelectionAsk>(&*message)) {
    OnAsk(aSender, *ask);
  } else if (const auto* answer = std::get_if<SelectionAnswer>(&*message)) {
    OnAnswer(aSender, *answer);
  } else if (const auto* report = std::get_if<SelectionReport>(&*message)) {
    OnReport(*report);
  } else if (const auto* withdrawal =
               std::get_if<SelectionWithdrawal>(&*message)) {
    OnWithdrawal(aSender, *withdrawal);
  } else if (const auto* hello = std::get_if<SelectionHello>(&*message)) {
    OnHello(aSender, *hello);
  } else if (const auto* beat = std::get_if<WatcherBeat>(&*message)) {
    if (onBeat_) {
      onBeat_(*beat, aSender);
    }
  }
}

void
SelectionService::OnHello(const Endpoint& aSender, const SelectionHello& aHello)
{
  if (ranking_.OnHeard(
        aHello.host, aHello.domain, aSender, aHello.processorCores)) {
    ShareBursts();
  }
  if (aHello.isAnswerWanted) {
    socket_->Send(aSender, EncodeHello());
  }
  if (onGreeting_) {
    onGreeting_(aHello.host);
  }
}

void
SelectionService::OnAsk(const Endpoint& aSender, const SelectionAsk& aAsk)
{
  ranking_.OnHeard(aAsk.request.host, aAsk.request.domain, aSender);
  const Instant now = clock_.Now();
  const SelectionResult result = selector_.Select(aAsk.request, now);
  socket_->Send(
    aSender,
    EncodeSelectionMessage(SelectionAnswer{ aAsk.call, result, known_ }));
  if (result.selection) {
    answered_.push_back({ aSender, aAsk.call, result.selection->ticket, now });
  }
  while (!answered_.empty() &&
         now - answered_.front().answeredAt > kWithdrawalTime) {
    answered_.pop_front();
  }
  OnVersions(aAsk.known, aSender);
}

void
SelectionService::OnReport(const SelectionReport& aReport)
{
  for (const TicketResult& result : aReport.results) {
    selector_.Finish(result.ticket, result.result, clock_.Now());
  }
}

void
SelectionService::OnWithdrawal(const Endpoint& aSender,
                               const SelectionWithdrawal& aWithdrawal)
{
  const auto ask =
    std::ranges::find_if(answered_, [&](const AnsweredAsk& aAsk) {
      return aAsk.call == aWithdrawal.call && aAsk.asker == aSender;
    });
  if (ask != answered_.end()) {
    selector_.Finish(ask->ticket, AttemptResult::Unused, clock_.Now());
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
SelectionService::OnAnswer(const Endpoint& aSender,
                           const SelectionAnswer& aAnswer)
{
  OnVersions(aAnswer.known, aSender);
  const auto node = asks_.extract(aAnswer.call);
  if (node.empty()) {
    // The request was served without this answer.
    OnLateAnswer(aSender, aAnswer);
    return;
  }
  const PendingAsk& ask = node.mapped();
  ranking_.OnAnswer(ask.owner);
  SelectionOutcome outcome;
  outcome.result = aAnswer.result;
  outcome.source = "owner";
  if (aAnswer.result.selection) {
    outcome.handle.owner = aSender;
    outcome.handle.ownerTicket = aAnswer.result.selection->ticket;
    outcome.handle.localTicket = selector_.Track(
      ask.request, aAnswer.result.selection->backendServer, clock_.Now());
  }
  ask.callback(outcome);
}

void
SelectionService::OnLateAnswer(const Endpoint& aSender,
                               const SelectionAnswer& aAnswer)
{
  const auto missed = missed_.extract(aAnswer.call);
  if (!missed.empty()) {
    const MissedAsk& ask = missed.mapped();
    LogEvent(
      LogLevel::Info,
      "owner_answer_late",
      { { "owner", ask.owner },
        { "ms",
          std::chrono::duration_cast<milliseconds>(clock_.Now() - ask.askedAt)
            .count() } });
  }
  if (aAnswer.result.selection) {
    Report(aSender,
           { aAnswer.result.selection->ticket, AttemptResult::Unused });
  }
}

void
SelectionService::OnAskTimeout()
{
  const Instant now = clock_.Now();
  while (!asks_.empty() && asks_.begin()->second.dueAt <= now) {
    const auto node = asks_.extract(asks_.begin());
    const PendingAsk& ask = node.mapped();
    ranking_.OnMissedAnswer(ask.owner, now);
    // The answer may be lost, and with it the ticket.
    socket_->Send(ask.address,
                  EncodeSelectionMessage(SelectionWithdrawal{ node.key() }));
    missed_.emplace(node.key(),
                    MissedAsk{ ask.owner, ask.dueAt - kAnswerTime });
    if (missed_.size() > kMaxMissedAsks) {
      missed_.erase(missed_.begin());
    }
    ask.callback(SelectAlone(ask.request));
  }
  ScheduleTimeout();
}

void
SelectionService::ScheduleTimeout()
{
  if (asks_.empty()) {
    timer_.stop();
    return;
  }
  const auto left =
    std::chrono::ceil<milliseconds>(asks_.begin()->second.dueAt - clock_.Now());
  timer_.start(std::max(left, milliseconds(0)));
}

} // namespace filbertbeam
