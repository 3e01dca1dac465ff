#include "gateway/Gateway.h"

#include "base/Log.h"
#include "base/MetricText.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// The part of the time that a leaving backend server grants in which changes
// are gathered: a series of changes then costs few calls, and there is time
// left for a slow answer.
constexpr int kGatherParts = 4;
// Backend servers are back this long after the catalog's return, if they live.
constexpr milliseconds kReturnTime{ 2'000 };

// The host's own watch usually brings a change that a peer knows within this
// time.
constexpr milliseconds kCatchUpTime{ 250 };

// After the signal to stop, the balancer still sends connections for as long as
// it takes it to miss two readiness checks, one a second.
constexpr milliseconds kLeavingTime{ 2'600 };
constexpr milliseconds kStopCheckInterval{ 50 };
// Kept from the time to stop, so that the process ends by itself.
constexpr milliseconds kStopMargin{ 300 };

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

} // namespace

Gateway::Gateway(const GatewaySettings& aSettings,
                 ObjectCatalog& aCatalog,
                 const CatalogCodec& aCodec,
                 const ExchangeDialect& aDialect)
  : settings_(aSettings)
  , catalog_(aCatalog)
  , codec_(aCodec)
  , dialect_(aDialect)
  , directoryBuilder_(aCodec, clock_)
{
  stopTimer_.callOnTimeout([this] { CheckStopped(); });
  catchUpTimer_.setSingleShot(true);
  catchUpTimer_.callOnTimeout([this] { CatchUp(); });
}

Gateway::~Gateway()
{
  trafficThread_.Run([this] { traffic_.reset(); });
}

std::unique_ptr<Gateway>
Gateway::Create(const GatewaySettings& aSettings,
                ObjectCatalog& aCatalog,
                const CatalogCodec& aCodec,
                const ExchangeDialect& aDialect,
                std::string& aReason)
{
  std::unique_ptr<Gateway> gateway(
    new Gateway(aSettings, aCatalog, aCodec, aDialect));
  return gateway->Start(aReason) ? std::move(gateway) : nullptr;
}

bool
Gateway::Start(std::string& aReason)
{
  if (!CreateTraffic(aReason) || !CreateServers(aReason)) {
    return false;
  }
  peers_ = std::make_unique<PeerSnapshotClient>(
    settings_.peerSnapshots,
    [this] { return NeedsPeers(); },
    [this](PeerSnapshot aSnapshot) { Import(std::move(aSnapshot)); });
  CreateFollowers();
  CreateRegistry();
  LogEvent(LogLevel::Info,
           "started",
           { { "host", settings_.host },
             { "region", settings_.region },
             { "domain", settings_.domain } });
  configurationFollower_->Start();
  serverFollower_->Start();
  watchSharing_->Start();
  registry_->Start();
  peers_->Start();
  return true;
}

bool
Gateway::CreateTraffic(std::string& aReason)
{
  trafficThread_.Run([&] {
    traffic_ =
      TrafficRuntime::Create(settings_, dialect_, metrics_, clock_, aReason);
    if (traffic_) {
      ConnectTraffic();
      frontPort_ = traffic_->FrontPort();
      peerAddress_ = traffic_->PeerAddress();
    }
  });
  return traffic_ != nullptr;
}

bool
Gateway::CreateServers(std::string& aReason)
{
  readiness_ = ProbeServer::Create(
    settings_.readiness,
    [this](std::string_view) {
      return IsReady() ? ProbeAnswer{ kOk, "ready\n" }
                       : ProbeAnswer{ kUnavailable, "not ready\n" };
    },
    aReason);
  if (!readiness_) {
    return false;
  }
  metricsServer_ = ProbeServer::Create(
    settings_.metrics,
    [this](std::string_view) {
      return ProbeAnswer{ kOk, FormatMetrics() };
    },
    aReason);
  if (!metricsServer_) {
    return false;
  }
  snapshotServer_ = ProbeServer::Create(
    settings_.snapshot,
    [this](std::string_view aTarget) { return AnswerPeer(aTarget); },
    aReason);
  return snapshotServer_ != nullptr;
}

void
Gateway::CreateFollowers()
{
  configurationFollower_ = std::make_unique<CatalogFollower>(
    catalog_,
    CatalogFollowerSettings{
      Collection::Configuration, "configuration", milliseconds(0), {} },
    clock_,
    random_,
    [this](const CatalogFollower::Objects& aObjects) {
      OnConfiguration(aObjects);
    });
  serverFollower_ = std::make_unique<CatalogFollower>(
    catalog_,
    CatalogFollowerSettings{ Collection::BackendServers,
                             "backend-servers",
                             GatherTime(),
                             kReturnTime },
    clock_,
    random_,
    [this](const CatalogFollower::Objects& aObjects) {
      OnBackendServers(aObjects);
    });
}

void
Gateway::CreateRegistry()
{
  const PeerHost self{ settings_.host,
                       settings_.domain,
                       peerAddress_,
                       { settings_.snapshot.address, snapshotServer_->Port() },
                       settings_.processorCores };
  watchSharing_ = std::make_unique<WatchSharing>(
    self,
    *configurationFollower_,
    *serverFollower_,
    clock_,
    [this](const WatcherBeat& aBeat) {
      trafficThread_.Post([this, aBeat] { traffic_->SendBeat(aBeat); });
    });
  registry_ = std::make_unique<HostRegistry>(
    catalog_,
    self,
    clock_,
    random_,
    [this](std::vector<PeerHost> aHosts) {
      watchSharing_->SetHosts(aHosts);
      trafficThread_.Post(
        [this, hosts = std::move(aHosts)] { traffic_->SetHosts(hosts); });
    },
    [this](std::vector<PeerHost> aHosts) {
      trafficThread_.Post(
        [this, hosts = std::move(aHosts)] { traffic_->Greet(hosts); });
    });
}

void
Gateway::ConnectTraffic()
{
  const auto onControlThread = [this](std::function<void()> aFunction) {
    QMetaObject::invokeMethod(
      &catchUpTimer_, std::move(aFunction), Qt::QueuedConnection);
  };
  traffic_->SetNewerVersionsHandler(
    [this, onControlThread](const KnownVersions& aKnown,
                            const Endpoint& aSender) {
      onControlThread(
        [this, aKnown, aSender] { OnNewerVersions(aKnown, aSender); });
    });
  traffic_->SetGreetingHandler(
    [this, onControlThread](const std::string& aHost) {
      onControlThread([this, aHost] { registry_->OnHeard(aHost); });
    });
  traffic_->SetBeatHandler(
    [this, onControlThread](const WatcherBeat& aBeat, const Endpoint& aSender) {
      onControlThread([this, aBeat, aSender] { OnBeat(aBeat, aSender); });
    });
}

ProbeAnswer
Gateway::AnswerPeer(std::string_view aTarget) const
{
  if (!IsReady()) {
    return { kUnavailable, "not ready\n" };
  }
  const auto changes =
    PeerChangesFor(aTarget, *configurationFollower_, *serverFollower_);
  if (changes) {
    return { kOk, EncodePeerChanges(*changes) };
  }
  return { kOk,
           EncodePeerSnapshot({ configurationFollower_->Copy(),
                                serverFollower_->Copy(),
                                registry_->Known() }) };
}

milliseconds
Gateway::GatherTime() const
{
  return std::chrono::duration_cast<milliseconds>(settings_.drainTime /
                                                  kGatherParts);
}

bool
Gateway::IsReady() const
{
  return routing_ != nullptr && serverFollower_->IsComplete() && !stopped_;
}

void
Gateway::OnConfiguration(const CatalogFollower::Objects& aObjects)
{
  for (const auto& [name, object] : aObjects) {
    if (object.revision <= rejectedRevision_) {
      continue;
    }
    std::string reason;
    const auto table = codec_.ReadConfiguration(object, reason);
    if (!table) {
      rejectedRevision_ = object.revision;
      LogEvent(LogLevel::Error,
               "configuration_rejected",
               { { "document", name },
                 { "revision", object.revision },
                 { "in_force", ConfigurationVersion() },
                 { "reason", reason } });
      continue;
    }
    if (routing_ && table->Version() <= routing_->Version()) {
      continue;
    }
    routing_ = table;
    LogEvent(LogLevel::Info,
             "configuration_in_force",
             { { "version", table->Version() },
               { "revision", object.revision },
               { "routes", table->Routes().size() } });
    trafficThread_.Post([this, table] { traffic_->SetRouting(table); });
  }
  PublishKnownVersions();
  ReportReadiness();
}

void
Gateway::OnBackendServers(const CatalogFollower::Objects& aObjects)
{
  const auto directory = directoryBuilder_.Build(aObjects);
  LogEvent(LogLevel::Info,
           "directory_in_force",
           { { "directory", directory->Revision() },
             { "catalog_revision", serverFollower_->Revision() },
             { "backend_servers", directory->Servers().size() } });
  trafficThread_.Post([this, directory] { traffic_->SetDirectory(directory); });
  PublishKnownVersions();
  ReportReadiness();
}

bool
Gateway::NeedsPeers() const
{
  if (stopped_) {
    return false;
  }
  return !IsReady() || !watchSharing_->HasRead(heard_);
}

void
Gateway::Import(PeerSnapshot aSnapshot)
{
  registry_->Import(std::move(aSnapshot.hosts));
  serverFollower_->Import(std::move(aSnapshot.backendServers));
  configurationFollower_->Import(std::move(aSnapshot.configuration));
}

void
Gateway::PublishKnownVersions()
{
  trafficThread_.Post(
    [this,
     known = KnownVersions{ configurationFollower_->NewestChange(),
                            serverFollower_->NewestChange() }] {
      traffic_->SetKnownVersions(known);
    });
  watchSharing_->OnNewerCopy();
}

void
Gateway::OnNewerVersions(const KnownVersions& aKnown, const Endpoint& aSender)
{
  const auto& hosts = registry_->Known();
  const auto sender = std::ranges::find(hosts, aSender, &PeerHost::address);
  if (sender != hosts.end() && sender->snapshot.port != 0) {
    peers_->Prefer(sender->snapshot);
  }
  heard_.configuration = std::max(heard_.configuration, aKnown.configuration);
  heard_.directory = std::max(heard_.directory, aKnown.directory);
  if (!catchUpTimer_.isActive()) {
    // Backend servers are read a little later than they change.
    catchUpTimer_.start(heard_.configuration >
                            configurationFollower_->NewestChange()
                          ? kCatchUpTime
                          : kCatchUpTime + GatherTime());
  }
}

void
Gateway::OnBeat(const WatcherBeat& aBeat, const Endpoint& aSender)
{
  watchSharing_->OnBeat(aBeat, aSender);
  if (NeedsPeers()) {
    peers_->Prefer({ aSender.address, aBeat.snapshotPort });
  }
  // What the watcher is asked for usually comes before it is missed.
  if (!watchSharing_->HasRead(aBeat.known)) {
    OnNewerVersions(aBeat.known, aSender);
  }
}

void
Gateway::CatchUp()
{
  configurationFollower_->CatchUp(heard_.configuration);
  serverFollower_->CatchUp(heard_.directory);
  // Where the catalog turns this host away and serves others.
  peers_->Start();
}

void
Gateway::ReportReadiness()
{
  const bool isReady = IsReady();
  if (isReady == wasReady_) {
    return;
  }
  wasReady_ = isReady;
  LogEvent(
    LogLevel::Info,
    isReady ? "ready" : "not_ready",
    { { "host", settings_.host }, { "version", ConfigurationVersion() } });
}

void
Gateway::ApplySettings(const GatewaySettings& aSettings)
{
  GatewaySettings applied = settings_;
  applied.stopTime = aSettings.stopTime;
  applied.repeatRatio = aSettings.repeatRatio;
  applied.repeatBurst = aSettings.repeatBurst;
  applied.repeatWindow = aSettings.repeatWindow;
  LogEvent(LogLevel::Info,
           "settings_applied",
           { { "changed", applied != settings_ },
             { "needs_restart", applied != aSettings } });
  settings_ = applied;
  trafficThread_.Post([this, applied] { traffic_->SetRepeatLimits(applied); });
}

void
Gateway::Stop(std::function<void()> aStopped)
{
  if (stopped_) {
    return;
  }
  stopped_ = std::move(aStopped);
  stoppingSince_ = clock_.Now();
  LogEvent(LogLevel::Info, "stopping", { { "host", settings_.host } });
  ReportReadiness();
  watchSharing_->StopBeats();
  registry_->Unregister();
  trafficThread_.Post([this] { traffic_->BeginStop(); });
  stopTimer_.start(kStopCheckInterval);
}

void
Gateway::CheckStopped()
{
  const Duration elapsed = clock_.Now() - stoppingSince_;
  if (elapsed < kLeavingTime) {
    return;
  }
  int running = 0;
  trafficThread_.Run([&] {
    if (std::exchange(isAccepting_, false)) {
      traffic_->StopAccepting();
    }
    running = traffic_->RunningExchanges();
  });
  if (running > 0 && elapsed < settings_.stopTime - kStopMargin) {
    return;
  }
  stopTimer_.stop();
  LogEvent(
    running > 0 ? LogLevel::Warning : LogLevel::Info,
    "stopped",
    { { "host", settings_.host },
      { "cut_requests", running },
      { "ms", std::chrono::duration_cast<milliseconds>(elapsed).count() } });
  stopped_();
}

std::string
Gateway::FormatMetrics() const
{
  std::string text = metrics_.Format();
  const auto gauge = [&text](std::string_view aName, auto aValue) {
    AppendMetric(text, "gauge", aName, aValue);
  };
  gauge("filbertbeam_ready", IsReady() ? 1 : 0);
  gauge("filbertbeam_configuration_version", ConfigurationVersion());
  gauge("filbertbeam_catalog_watcher", IsWatcher() ? 1 : 0);
  gauge("filbertbeam_directory_catalog_revision", serverFollower_->Revision());
  gauge("filbertbeam_catalog_reachable",
        serverFollower_->IsReachable() && configurationFollower_->IsReachable()
          ? 1
          : 0);
  return text;
}

} // namespace filbertbeam
