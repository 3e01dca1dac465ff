#include "balancing/QuotaService.h"

#include "base/Digest.h"
#include "base/Log.h"
#include "base/SeededRandom.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Workspaces are ranked by group, so that the memory of the ranking does not
// grow with their number.
constexpr std::string_view kRankingKey = "quota/";
constexpr std::uint64_t kGroups = 256;
// As for the owners of shards: hosts that used up their processor quota respond
// within 100 ms.
constexpr milliseconds kResponseTimeout{ 100 };
// Queries that a request waits for before it is decided without a home.
constexpr int kMaxTries = 3;
// A host that missed the responses of this many homes in a row is taken to be
// cut off, and decides alone until it asks again.
constexpr std::size_t kMissedHomesUntilAlone = 3;
constexpr milliseconds kAloneTime{ 1'000 };
// A home that has heard no other host for this time probes one after another.
constexpr milliseconds kSilentTime{ 1'000 };
constexpr milliseconds kProbeInterval{ 200 };
// A home knows that another host was passed over within this time.
constexpr seconds kMissedHomeTime{ 10 };
// Tokens that were held longer are not given back: requests of a later window
// would use them.
constexpr milliseconds kMaxReturnAge{ 150 };
// Datagrams stay below the usual size of a packet.
constexpr std::size_t kMaxQueryBytes = 1'100;
constexpr std::size_t kDemandBytes = 16;

constexpr milliseconds kTickInterval{ 500 };
// A tick that is late by this much shows that the process was paused.
constexpr milliseconds kInterruption{ 1'000 };
constexpr seconds kHomeIdleTime{ 10 };

} // namespace

QuotaService::QuotaService(std::string aHost,
                           std::string aDomain,
                           double aProcessorCores,
                           const QuotaBound& aBound,
                           const Clock& aClock,
                           QuotaTransport& aTransport)
  : host_(std::move(aHost))
  , domain_(std::move(aDomain))
  , clock_(aClock)
  , transport_(aTransport)
  , ranking_(host_, aProcessorCores)
  , ledger_(aBound, aClock.Now())
  , allowance_(aBound)
  // Prevents responses to queries of an earlier run of this host from matching
  // new ones. The ids affect no decision.
  , nextQueryId_((SeededRandom().Next() >> 24) << 16)
  , lastHeardAt_(aClock.Now())
{
  for (QTimer* timer : { &flushTimer_, &queryTimer_ }) {
    timer->setSingleShot(true);
    timer->setTimerType(Qt::PreciseTimer);
  }
  flushTimer_.callOnTimeout([this] { Flush(); });
  queryTimer_.callOnTimeout([this] { OnTimeout(); });
  tickTimer_.callOnTimeout([this] { OnTick(); });
}

void
QuotaService::SetBound(const QuotaBound& aBound)
{
  ledger_.SetBound(aBound);
  allowance_.SetBound(aBound);
}

void
QuotaService::SetContracts(std::shared_ptr<const ContractTable> aContracts)
{
  allowance_.SetContracts(aContracts.get());
  ledger_.SetContracts(aContracts, clock_.Now());
  contracts_ = std::move(aContracts);
}

void
QuotaService::SetHosts(std::vector<PeerHost> aHosts)
{
  ranking_.SetHosts(std::move(aHosts));
}

void
QuotaService::OnPeer(const std::string& aHost,
                     const std::string& aDomain,
                     const Endpoint& aAddress,
                     double aProcessorCores)
{
  ranking_.OnPeerMessage(aHost, aDomain, aAddress, aProcessorCores);
  OnHeard(clock_.Now());
}

const Contract*
QuotaService::LimitedContract(std::string_view aWorkspace) const
{
  const Contract* contract =
    contracts_ && !aWorkspace.empty() ? contracts_->Find(aWorkspace) : nullptr;
  return contract && contract->requestsPerSecond > 0 ? contract : nullptr;
}

const PeerHost*
QuotaService::HomeOf(std::string_view aWorkspace, Instant aNow)
{
  const auto group =
    static_cast<std::uint32_t>(StableHash(aWorkspace, 0) % kGroups);
  return ranking_.OwnerOf(kRankingKey, group, aNow);
}

std::optional<QuotaVerdict>
QuotaService::Admit(std::string_view aWorkspace)
{
  const Contract* contract = LimitedContract(aWorkspace);
  if (contract == nullptr) {
    return QuotaVerdict();
  }
  const Instant now = clock_.Now();
  const std::string workspace(aWorkspace);
  if (const auto wait = allowance_.KnownRefusal(*contract, now)) {
    return QuotaVerdict{ false, *wait, {}, "known" };
  }
  const bool isHome = HomeOf(workspace, now) == nullptr;
  if (isHome) {
    ProbeWhenSilent(now);
  }
  if (IsAlone(isHome, now)) {
    return DecideAlone(*contract, now);
  }
  if (isHome) {
    return GrantLocally(workspace, now);
  }
  return std::nullopt;
}

QuotaVerdict
QuotaService::GrantLocally(const std::string& aWorkspace, Instant aNow)
{
  CheckInterruption(aNow);
  const QuotaGrant grant = ledger_.Grant(
    { aWorkspace, 1, 0, allowance_.HasChangedHome(aWorkspace, host_, aNow) },
    aNow);
  if (grant.granted > 0) {
    allowance_.OnGranted(aWorkspace, host_, aNow);
    return { true, {}, { host_, {}, aNow }, "self" };
  }
  return { false, grant.retryAfter, {}, "self" };
}

QuotaVerdict
QuotaService::DecideAlone(const Contract& aContract, Instant aNow)
{
  const auto wait =
    allowance_.AdmitAlone(aContract, ranking_.Hosts().size(), aNow);
  return { !wait.has_value(), wait.value_or(Duration::zero()), {}, "alone" };
}

bool
QuotaService::IsAlone(bool aIsHome, Instant aNow) const
{
  return missedHomes_.size() >= kMissedHomesUntilAlone &&
         (aIsHome || aNow < aloneUntil_);
}

void
QuotaService::OnHeard(Instant aNow)
{
  lastHeardAt_ = aNow;
  const bool wasAlone = missedHomes_.size() >= kMissedHomesUntilAlone;
  missedHomes_.clear();
  if (wasAlone && ledger_.Buckets() > 0) {
    BeginAsHome("reached-again", aNow);
  }
}

void
QuotaService::BeginAsHome(std::string_view aCause, Instant aNow)
{
  LogEvent(LogLevel::Info,
           "quota_home_began",
           { { "cause", aCause }, { "buckets", ledger_.Buckets() } });
  ledger_.OnInterruption(aNow);
  const QuotaQuery greeting{ nextQueryId_++, host_, domain_, {}, {} };
  for (const PeerHost& host : ranking_.Hosts()) {
    if (host.name != host_) {
      transport_.SendQuota(host.address, greeting);
    }
  }
}

void
QuotaService::ProbeWhenSilent(Instant aNow)
{
  const std::vector<PeerHost>& hosts = ranking_.Hosts();
  if (hosts.empty() || aNow - lastHeardAt_ < kSilentTime ||
      aNow < nextProbeAt_) {
    return;
  }
  nextProbeAt_ = aNow + kProbeInterval;
  const PeerHost& host = hosts[probes_++ % hosts.size()];
  if (host.name != host_) {
    SendQuery(host.name, host.address, {});
    ScheduleTimeout();
  }
}

void
QuotaService::Request(std::string_view aWorkspace, Callback aCallback)
{
  Ask(std::string(aWorkspace), { std::move(aCallback), 0 });
}

void
QuotaService::Ask(const std::string& aWorkspace, Waiter aWaiter)
{
  if (const auto verdict = Admit(aWorkspace)) {
    aWaiter.callback(*verdict);
    return;
  }
  const Instant now = clock_.Now();
  if (aWaiter.tries >= kMaxTries) {
    aWaiter.callback(DecideAlone(*LimitedContract(aWorkspace), now));
    return;
  }
  const PeerHost* home = HomeOf(aWorkspace, now);
  Batch& batch = batches_[home->name];
  batch.address = home->address;
  batch.demands[aWorkspace].waiters.push_back(std::move(aWaiter));
  flushTimer_.start(0);
}

void
QuotaService::Return(std::string_view aWorkspace, const QuotaToken& aToken)
{
  const Instant now = clock_.Now();
  if (aToken.home.empty() || now - aToken.grantedAt > kMaxReturnAge) {
    return;
  }
  std::string workspace(aWorkspace);
  if (aToken.home == host_) {
    ledger_.Grant({ std::move(workspace), 0, 1, false }, now);
    return;
  }
  Batch& batch = batches_[aToken.home];
  batch.address = aToken.address;
  ++batch.demands[workspace].returned;
  flushTimer_.start(0);
}

void
QuotaService::Flush()
{
  for (auto& [home, batch] : std::exchange(batches_, {})) {
    Demands demands;
    std::size_t bytes = 0;
    for (auto& [workspace, demand] : batch.demands) {
      bytes += workspace.size() + kDemandBytes;
      if (!demands.empty() && (bytes > kMaxQueryBytes ||
                               demands.size() >= QuotaQuery::kMaxDemands)) {
        SendQuery(home, batch.address, std::exchange(demands, {}));
        bytes = workspace.size() + kDemandBytes;
      }
      demands.emplace(workspace, std::move(demand));
    }
    SendQuery(home, batch.address, std::move(demands));
  }
  ScheduleTimeout();
}

void
QuotaService::SendQuery(const std::string& aHome,
                        const Endpoint& aAddress,
                        Demands aDemands)
{
  const Instant now = clock_.Now();
  QuotaQuery query{ nextQueryId_++, host_, domain_, {}, {} };
  if (!lastMissedHome_.empty() && now - lastMissedAt_ < kMissedHomeTime &&
      lastMissedHome_ != aHome) {
    query.missedHome = lastMissedHome_;
  }
  // A query without demands is a probe.
  bool isWaiting = aDemands.empty();
  for (const auto& [workspace, demand] : aDemands) {
    isWaiting = isWaiting || !demand.waiters.empty();
    query.demands.push_back(
      { workspace,
        static_cast<std::uint32_t>(demand.waiters.size()),
        demand.returned,
        allowance_.HasChangedHome(workspace, aHome, now) });
  }
  if (isWaiting) {
    pendingQueries_.emplace(
      query.queryId,
      PendingQuery{
        aHome, aAddress, now + kResponseTimeout, std::move(aDemands) });
  }
  transport_.SendQuota(aAddress, query);
}

void
QuotaService::OnResponse(const Endpoint&, const QuotaResponse& aResponse)
{
  auto node = pendingQueries_.extract(aResponse.queryId);
  if (node.empty()) {
    return;
  }
  PendingQuery& query = node.mapped();
  ranking_.OnResponse(query.home);
  OnHeard(clock_.Now());
  for (const QuotaGrant& grant : aResponse.grants) {
    auto demand = query.demands.extract(grant.workspace);
    if (!demand.empty()) {
      Apply(grant, query, demand.mapped().waiters);
    }
  }
  AskAgain(query);
}

void
QuotaService::Apply(const QuotaGrant& aGrant,
                    const PendingQuery& aQuery,
                    const std::vector<Waiter>& aWaiters)
{
  const Instant now = clock_.Now();
  const Contract* contract = LimitedContract(aGrant.workspace);
  const bool isDecided = aGrant.status == QuotaStatus::Decided;
  if (aGrant.granted > 0) {
    allowance_.OnGranted(aGrant.workspace, aQuery.home, now);
  }
  if (isDecided && aGrant.granted < aWaiters.size()) {
    allowance_.OnRefused(aGrant, now);
  }
  std::uint32_t left = aGrant.granted;
  Duration retryAfter = aGrant.retryAfter;
  for (const Waiter& waiter : aWaiters) {
    if (contract == nullptr) {
      waiter.callback({});
    } else if (!isDecided) {
      waiter.callback(DecideAlone(*contract, now));
    } else if (left > 0) {
      --left;
      waiter.callback(
        { true, {}, { aQuery.home, aQuery.address, now }, "home" });
    } else {
      waiter.callback({ false, retryAfter, {}, "home" });
      retryAfter += FromSeconds(1 / contract->requestsPerSecond);
    }
  }
}

void
QuotaService::AskAgain(PendingQuery& aQuery)
{
  for (auto& [workspace, demand] : aQuery.demands) {
    for (Waiter& waiter : demand.waiters) {
      ++waiter.tries;
      Ask(workspace, std::move(waiter));
    }
  }
}

void
QuotaService::OnTimeout()
{
  const Instant now = clock_.Now();
  while (!pendingQueries_.empty() &&
         pendingQueries_.begin()->second.dueAt <= now) {
    auto node = pendingQueries_.extract(pendingQueries_.begin());
    OnMissed(node.mapped().home, now);
    AskAgain(node.mapped());
  }
  ScheduleTimeout();
}

void
QuotaService::OnMissed(const std::string& aHome, Instant aNow)
{
  ranking_.OnMissedResponse(aHome, aNow);
  lastMissedHome_ = aHome;
  lastMissedAt_ = aNow;
  missedHomes_.insert(aHome);
  if (missedHomes_.size() >= kMissedHomesUntilAlone) {
    aloneUntil_ = aNow + kAloneTime;
  }
}

void
QuotaService::OnQuery(const Endpoint& aSender, const QuotaQuery& aQuery)
{
  const Instant now = clock_.Now();
  OnPeer(aQuery.host, aQuery.domain, aSender);
  if (!aQuery.demands.empty()) {
    CheckInterruption(now);
  }
  QuotaResponse response{ aQuery.queryId, {} };
  for (const QuotaDemand& demand : aQuery.demands) {
    response.grants.push_back(Answer(demand, aQuery.missedHome, now));
  }
  transport_.SendQuota(aSender, response);
}

QuotaGrant
QuotaService::Answer(const QuotaDemand& aDemand,
                     const std::string& aMissedHome,
                     Instant aNow)
{
  const PeerHost* home = HomeOf(aDemand.workspace, aNow);
  if (home != nullptr && home->name == aMissedHome) {
    // The sender has missed the responses that this host would miss; both of
    // them have to be counted until a host is passed over.
    ranking_.OnMissedResponse(aMissedHome, aNow);
    ranking_.OnMissedResponse(aMissedHome, aNow);
    home = HomeOf(aDemand.workspace, aNow);
  }
  if (home != nullptr) {
    QuotaGrant grant;
    grant.workspace = aDemand.workspace;
    grant.status = QuotaStatus::NotHome;
    return grant;
  }
  return ledger_.Grant(aDemand, aNow);
}

void
QuotaService::CheckInterruption(Instant aNow)
{
  lastQueryAt_ = aNow;
  if (!lastTickAt_) {
    tickTimer_.start(kTickInterval);
  } else if (aNow - *lastTickAt_ <= kTickInterval + kInterruption) {
    return;
  }
  BeginAsHome(lastTickAt_ ? "paused" : "first-demand", aNow);
  lastTickAt_ = aNow;
}

void
QuotaService::OnTick()
{
  if (!lastTickAt_) {
    return;
  }
  const Instant now = clock_.Now();
  const Instant lastQueryAt = lastQueryAt_;
  CheckInterruption(now);
  lastQueryAt_ = lastQueryAt;
  lastTickAt_ = now;
  if (now - lastQueryAt_ > kHomeIdleTime) {
    // A pause is not seen without ticks, so the next demand begins anew.
    lastTickAt_.reset();
    tickTimer_.stop();
  }
}

void
QuotaService::ScheduleTimeout()
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
