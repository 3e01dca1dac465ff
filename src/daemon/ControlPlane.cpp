#include "daemon/ControlPlane.h"

#include "base/Log.h"
#include "limits/ShareMessages.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

// A host that cannot find other hosts serves on its own after this time; its
// backend servers then shed excess requests.
constexpr std::chrono::seconds kMaxWaitForMembers{ 10 };

// Short compared with kDeadHostRemovalDelay.
constexpr std::chrono::seconds kSweepInterval{ 60 };

ListedHost
CreateListedHost(const Member& aSelf)
{
  return {
    aSelf.host,       aSelf.region,       aSelf.domain, aSelf.relay.address,
    aSelf.relay.port, aSelf.control.port, false
  };
}

} // namespace

ControlPlane::ControlPlane(const Member& aSelf,
                           ObjectCatalog& aCatalog,
                           ControlChannel& aChannel,
                           const Clock& aClock,
                           Random& aRandom,
                           EventSink& aEvents,
                           ControlPlaneObserver& aObserver)
  : self_(aSelf.host)
  , channel_(aChannel)
  , clock_(aClock)
  , events_(aEvents)
  , observer_(aObserver)
  , heartbeats_(aSelf, aClock, aRandom)
  , hostList_(
      aCatalog,
      CreateListedHost(aSelf),
      aClock,
      aRandom,
      [this](const std::vector<ListedHost>& aHosts) { OnHosts(aHosts); })
  , coordinator_(ShareCoordinator::Create())
{
  channel_.SetReceiver(ControlMessageType::Heartbeat,
                       [this](const ControlSender& aSender, ByteView aPayload) {
                         if (!heartbeats_.OnHeartbeat(aSender, aPayload)) {
                           LogEvent(LogLevel::Warning,
                                    "heartbeat_malformed",
                                    { { "host", aSender.host } });
                         }
                       });
  channel_.SetReceiver(ControlMessageType::DemandReport,
                       [this](const ControlSender& aSender, ByteView aPayload) {
                         OnDemandReport(aSender, aPayload);
                       });
  channel_.SetReceiver(ControlMessageType::ShareGrant,
                       [this](const ControlSender&, ByteView aPayload) {
                         if (auto shares = DecodeShares(aPayload)) {
                           observer_.OnShares(std::move(*shares));
                         }
                       });
  heartbeatTimer_.setTimerType(Qt::PreciseTimer);
  heartbeatTimer_.callOnTimeout([this] { OnTick(); });
  sweepTimer_.callOnTimeout([this] { RemoveDeadHosts(); });
  demandTimer_.callOnTimeout([this] { observer_.OnDemandReportDue(); });
}

void
ControlPlane::Start()
{
  startedAt_ = clock_.Now();
  hostList_.Start();
  OnTick();
  heartbeatTimer_.start(kHeartbeatTickInterval);
  demandTimer_.start(kDemandReportInterval);
  sweepTimer_.start(kSweepInterval);
}

void
ControlPlane::SetConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  heartbeats_.SetConfigurationRevision(aConfiguration->Revision());
  coordinator_->SetConfiguration(std::move(aConfiguration));
}

void
ControlPlane::StartLeaving()
{
  heartbeats_.StartLeaving();
  hostList_.StartLeaving();
  // Partners receive the new state at once instead of with the next regular
  // heartbeat.
  OnTick();
}

void
ControlPlane::Unregister(std::function<void()> aDone)
{
  hostList_.Unregister(std::move(aDone));
}

bool
ControlPlane::IsViewUsable()
{
  if (clock_.Now() - startedAt_ > kMaxWaitForMembers) {
    return true;
  }
  // While this host regards itself as isolated, it relays the requests of its
  // own shards to another host. Hosts that have its record relay them to it, so
  // both would assign the same slots.
  if (!publishedView_ || publishedView_->IsIsolated()) {
    return false;
  }
  const auto hasKnownIncarnation = [](const Member& aMember) {
    return aMember.state != HostState::Live || aMember.incarnation != 0;
  };
  const auto members = publishedView_->Members();
  const bool hasPeers = members.size() > 1;
  return (hasReadHostList_ || hasPeers) &&
         std::ranges::all_of(members, hasKnownIncarnation);
}

void
ControlPlane::OnTick()
{
  for (const OutgoingHeartbeat& heartbeat : heartbeats_.Tick()) {
    channel_.Send(
      heartbeat.to, ControlMessageType::Heartbeat, heartbeat.payload);
  }
  PublishView();
  const auto newest = heartbeats_.NewestConfiguration();
  if (!newest) {
    return;
  }
  const Member* source = publishedView_->Find(newest->host);
  if (source) {
    observer_.OnRevisionReported(newest->revision, *source);
  }
}

void
ControlPlane::PublishView()
{
  std::shared_ptr<const MembershipView> view = heartbeats_.View();
  if (view == publishedView_) {
    return;
  }
  publishedView_ = view;
  if (LogStateChanges(*view)) {
    coordinator_->OnHomesChanged(clock_.Now());
  }
  observer_.OnView(std::move(view));
}

bool
ControlPlane::LogStateChanges(const MembershipView& aView)
{
  bool isChanged = false;
  for (const Member& member : aView.Members()) {
    const auto [known, isNew] =
      loggedStates_.try_emplace(member.host, member.state);
    if (!isNew && known->second == member.state) {
      continue;
    }
    known->second = member.state;
    LogEvent(
      LogLevel::Info,
      "host_state",
      { { "host", member.host }, { "state", HostStateName(member.state) } });
    events_.Record(
      EventSubject::Host, member.host, HostStateName(member.state));
  }
  return isChanged;
}

void
ControlPlane::OnHosts(const std::vector<ListedHost>& aHosts)
{
  heartbeats_.SetListedHosts(aHosts);
  hasReadHostList_ = true;
  // Until the next tick, a view that contains only this host would make it the
  // owner of every shard.
  PublishView();
  std::set<std::string> leaving;
  for (const ListedHost& host : aHosts) {
    if (host.isLeaving && host.controlPort == 0) {
      leaving.insert(host.address);
    }
  }
  observer_.OnLeavingAddresses(leaving);
}

void
ControlPlane::RemoveDeadHosts()
{
  for (const std::string& host : deadHosts_.TakeDeadHosts(
         hostList_.Hosts(), *publishedView_, clock_.Now())) {
    hostList_.Remove(host);
  }
}

void
ControlPlane::SendDemands(std::span<const CustomerDemand> aDemands)
{
  if (!publishedView_) {
    return;
  }
  std::map<const Member*, std::vector<CustomerDemand>> byHome;
  for (const CustomerDemand& demand : aDemands) {
    if (const Member* home = publishedView_->HomeOfCustomer(demand.customer)) {
      byHome[home].push_back(demand);
    }
  }
  for (const auto& [home, demands] : byHome) {
    if (home->host == self_) {
      observer_.OnShares(coordinator_->OnReport(
        self_, heartbeats_.Incarnation(), demands, clock_.Now()));
      continue;
    }
    channel_.Send(
      home->control, ControlMessageType::DemandReport, EncodeDemands(demands));
  }
}

void
ControlPlane::OnDemandReport(const ControlSender& aSender, ByteView aPayload)
{
  const auto demands = DecodeDemands(aPayload);
  const Member* sender =
    publishedView_ ? publishedView_->Find(aSender.host) : nullptr;
  if (!demands || !sender) {
    return;
  }
  const std::vector<ShareGrant> shares = coordinator_->OnReport(
    aSender.host, aSender.incarnation, *demands, clock_.Now());
  channel_.Send(
    sender->control, ControlMessageType::ShareGrant, EncodeShares(shares));
}

} // namespace filbertbeam
