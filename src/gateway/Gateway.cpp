#include "gateway/Gateway.h"

#include "base/Log.h"
#include "base/MetricText.h"
#include "gateway/WatchWait.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Changes of backend servers are collected for their drain time divided by
// this. A series of changes then costs few calls, and there is time left for a
// slow response.
constexpr int kCoalescingDelayDivisor = 4;
// Live backend servers have registered again within this time after a catalog
// outage.
constexpr milliseconds kMissingServerRetention{ 2'000 };
// The entry of a live backend server outlasts two of its heartbeat intervals
// without the catalog, at least 3 s. An outage is noticed within 2 s.
constexpr milliseconds kShortestOutage{ 1'000 };

// The host's own watch usually delivers a change that a peer has read within
// this time.
constexpr milliseconds kCatchUpDelay{ 250 };
constexpr milliseconds kCatchUpCheckInterval{ 100 };

// After the stop signal, the load balancer keeps sending connections until two
// of its readiness checks, sent once a second, have failed.
constexpr milliseconds kBalancerDrainTime{ 2'600 };
constexpr milliseconds kStopCheckInterval{ 50 };
// Reserved from stopTime, so that the process exits before it is killed.
constexpr milliseconds kStopMargin{ 300 };
// A response that is sent at the deadline of its request needs this long to
// leave the host.
constexpr milliseconds kLastResponseTime{ 100 };

constexpr milliseconds kKeysCheckInterval{ 100 };

constexpr milliseconds kCatalogLogInterval{ 10'000 };

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

} // namespace

Gateway::Gateway(const GatewaySettings& aSettings,
                 ObjectCatalog& aCatalog,
                 const CatalogCodec& aCodec,
                 const ExchangeHeaderCodec& aHeaderCodec)
  : settings_(aSettings)
  , catalog_(aCatalog)
  , codec_(aCodec)
  , headerCodec_(aHeaderCodec)
  , configuration_(aCodec)
  , directoryBuilder_(aCodec, clock_)
  , keys_(settings_.keyTrustTime)
{
  keysTimer_.callOnTimeout([this] { ConfirmKeys(); });
  stopTimer_.callOnTimeout([this] { CheckStopped(); });
  catchUpTimer_.callOnTimeout([this] { CatchUp(); });
  catalogLogTimer_.callOnTimeout([this] { LogCatalogCalls(); });
  catalogLogTimer_.start(kCatalogLogInterval);
  departuresTimer_.setSingleShot(true);
  departuresTimer_.callOnTimeout(
    [this] { OnBackendServers(serverFollower_->Current()); });
}

Gateway::~Gateway()
{
  catalog_.SetRestoreHandler({});
  trafficThread_.Run([this] { traffic_.reset(); });
}

std::unique_ptr<Gateway>
Gateway::Create(const GatewaySettings& aSettings,
                ObjectCatalog& aCatalog,
                const CatalogCodec& aCodec,
                const ExchangeHeaderCodec& aHeaderCodec,
                std::string& aReason)
{
  std::unique_ptr<Gateway> gateway(
    new Gateway(aSettings, aCatalog, aCodec, aHeaderCodec));
  return gateway->Start(aReason) ? std::move(gateway) : nullptr;
}

bool
Gateway::Start(std::string& aReason)
{
  if (!CreateTraffic(aReason) || !CreateServers(aReason)) {
    return false;
  }
  snapshotClient_ = std::make_unique<PeerSnapshotClient>(
    settings_.peerSnapshots,
    [this] { return NeedsPeerSnapshot(); },
    [this](PeerSnapshot aSnapshot) { Import(std::move(aSnapshot)); });
  knowledgeClient_ = std::make_unique<RestoredKnowledgeClient>(
    settings_.peerSnapshots,
    [this](const std::optional<RestoredKnowledge>& aKnowledge) {
      OnPeerKnowledge(aKnowledge);
    });
  CreateFollowers();
  CreateRegistry();
  LogEvent(LogLevel::Info,
           "started",
           { { "host", settings_.host },
             { "region", settings_.region },
             { "domain", settings_.domain } });
  catalog_.SetRestoreHandler(
    [this](const CatalogRestore& aRestore) { OnCatalogRestored(aRestore); });
  configurationFollower_->Start();
  serverFollower_->Start();
  watchSharing_->Start(FirstWatcherWait(settings_));
  hostRegistry_->Start();
  snapshotClient_->Start();
  knowledgeClient_->Start();
  if (settings_.keyTrustTime) {
    keysTimer_.start(kKeysCheckInterval);
  }
  return true;
}

bool
Gateway::CreateTraffic(std::string& aReason)
{
  trafficThread_.Run([&] {
    traffic_ = TrafficRuntime::Create(
      settings_, headerCodec_, metrics_, clock_, aReason);
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
  readinessServer_ = SimpleHttpServer::Create(
    settings_.readiness,
    [this](std::string_view) {
      return IsReady() ? SimpleHttpResponse{ kOk, "ready\n" }
                       : SimpleHttpResponse{ kUnavailable, "not ready\n" };
    },
    aReason);
  if (!readinessServer_) {
    return false;
  }
  metricsServer_ = SimpleHttpServer::Create(
    settings_.metrics,
    [this](std::string_view) {
      return SimpleHttpResponse{ kOk, FormatMetrics() };
    },
    aReason);
  if (!metricsServer_) {
    return false;
  }
  snapshotServer_ = SimpleHttpServer::Create(
    settings_.snapshot,
    [this](std::string_view aTarget) { return HandlePeerRequest(aTarget); },
    aReason);
  return snapshotServer_ != nullptr;
}

void
Gateway::CreateFollowers()
{
  configurationFollower_ = std::make_unique<CatalogFollower>(
    catalog_,
    CatalogFollowerSettings{
      Collection::Configuration, "configuration", milliseconds(0), {}, {} },
    clock_,
    random_,
    [this](const CatalogFollower::Objects& aObjects) {
      OnConfiguration(aObjects);
    });
  serverFollower_ = std::make_unique<CatalogFollower>(
    catalog_,
    CatalogFollowerSettings{ Collection::BackendServers,
                             "backend-servers",
                             CoalescingDelay(),
                             kMissingServerRetention,
                             kShortestOutage,
                             &codec_ },
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
  watchSharing_ =
    std::make_unique<WatchSharing>(self,
                                   catalog_,
                                   *configurationFollower_,
                                   *serverFollower_,
                                   clock_,
                                   random_,
                                   [this](const WatcherHeartbeat& aHeartbeat) {
                                     trafficThread_.Post([this, aHeartbeat] {
                                       traffic_->SendHeartbeat(aHeartbeat);
                                     });
                                   });
  hostRegistry_ = std::make_unique<HostRegistry>(
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
        [this, hosts = std::move(aHosts)] { traffic_->ProbeHosts(hosts); });
    });
}

void
Gateway::ConnectTraffic()
{
  const auto postToControlThread = [this](std::function<void()> aFunction) {
    QMetaObject::invokeMethod(
      &catchUpTimer_, std::move(aFunction), Qt::QueuedConnection);
  };
  traffic_->SetNewerVersionsHandler(
    [this, postToControlThread](const KnownVersions& aKnown,
                                const Endpoint& aSender) {
      postToControlThread(
        [this, aKnown, aSender] { OnNewerVersions(aKnown, aSender); });
    });
  traffic_->SetAnnouncementHandler([this, postToControlThread](
                                     const std::string& aHost) {
    postToControlThread([this, aHost] { hostRegistry_->OnPeerMessage(aHost); });
  });
  traffic_->SetHeartbeatHandler(
    [this, postToControlThread](const WatcherHeartbeat& aHeartbeat,
                                const Endpoint& aSender) {
      postToControlThread(
        [this, aHeartbeat, aSender] { OnHeartbeat(aHeartbeat, aSender); });
    });
}

SimpleHttpResponse
Gateway::HandlePeerRequest(std::string_view aTarget)
{
  if (!IsReady()) {
    return { kUnavailable, "not ready\n" };
  }
  if (aTarget == kRestoredKnowledgePath) {
    return { kOk, EncodeRestoredKnowledge(KnowledgeForPeers()) };
  }
  const std::string version =
    fmt::format("{} {} {} {} {}",
                FormatCatalogVersion(configurationFollower_->Version()),
                FormatCatalogVersion(configurationFollower_->NewestChange()),
                FormatCatalogVersion(serverFollower_->Version()),
                FormatCatalogVersion(serverFollower_->NewestChange()),
                hostRegistry_->ListedHosts().size());
  return { kOk, peerResponses_.Get(version, aTarget, [this, aTarget] {
            std::string text = EncodePeerResponse(aTarget);
            return AcceptsPackedData(aTarget) ? PackPeerData(text) : text;
          }) };
}

std::string
Gateway::EncodePeerResponse(std::string_view aTarget) const
{
  const auto changes =
    PeerChangesFor(aTarget, *configurationFollower_, *serverFollower_);
  if (changes) {
    return EncodePeerChanges(*changes);
  }
  return EncodePeerSnapshot({ configurationFollower_->Copy(),
                              serverFollower_->Copy(),
                              hostRegistry_->ListedHosts() });
}

milliseconds
Gateway::CoalescingDelay() const
{
  return std::chrono::duration_cast<milliseconds>(settings_.drainTime /
                                                  kCoalescingDelayDivisor);
}

bool
Gateway::IsReady() const
{
  return configuration_.Routing() != nullptr && serverFollower_->IsComplete() &&
         knowledgeClient_->IsDone() && !stopped_;
}

void
Gateway::OnConfiguration(const CatalogFollower::Objects& aObjects)
{
  for (const auto& [name, object] : aObjects) {
    ApplyConfiguration(object);
  }
  PublishKnownVersions();
  ReportReadiness();
}

void
Gateway::ApplyConfiguration(const CatalogObject& aObject)
{
  if (configuration_.Apply(aObject)) {
    trafficThread_.Post([this, table = configuration_.Routing()] {
      traffic_->SetRouting(table);
    });
  }
}

RestoredKnowledge
Gateway::KnowledgeForPeers() const
{
  const Instant now = clock_.Now();
  RestoredKnowledge knowledge;
  knowledge.configuration =
    configuration_.ObjectUnlike(configurationFollower_->Current());
  const KnownDepartures& departures = directoryBuilder_.Departures();
  knowledge.remaining =
    std::chrono::duration_cast<milliseconds>(departures.Remaining(now));
  knowledge.departures = departures.Export(now);
  return knowledge;
}

void
Gateway::OnPeerKnowledge(const std::optional<RestoredKnowledge>& aKnowledge)
{
  if (aKnowledge) {
    directoryBuilder_.Departures().Import(
      aKnowledge->departures, aKnowledge->remaining, clock_.Now());
    if (aKnowledge->configuration) {
      ApplyConfiguration(*aKnowledge->configuration);
    }
    if (!aKnowledge->departures.empty() && serverFollower_->IsComplete()) {
      OnBackendServers(serverFollower_->Current());
    }
    ScheduleEndOfDepartures();
  }
  ReportReadiness();
}

void
Gateway::ScheduleEndOfDepartures()
{
  const Duration remaining =
    directoryBuilder_.Departures().Remaining(clock_.Now());
  if (remaining > Duration(0)) {
    departuresTimer_.start(std::chrono::ceil<milliseconds>(remaining));
  }
}

void
Gateway::OnBackendServers(const CatalogFollower::Objects& aObjects)
{
  const auto directory = directoryBuilder_.Build(aObjects);
  if (directoryBuilder_.KeptDepartures() > 0 && !departuresTimer_.isActive()) {
    departuresTimer_.start(kDepartureRetention);
  }
  LogEvent(
    LogLevel::Info,
    "directory_in_force",
    { { "directory", directory->Revision() },
      { "catalog_version", FormatCatalogVersion(serverFollower_->Version()) },
      { "backend_servers", directory->Servers().size() } });
  trafficThread_.Post([this, directory] { traffic_->SetDirectory(directory); });
  PublishKnownVersions();
  ReportReadiness();
}

KnownVersions
Gateway::OverdueVersions() const
{
  const Instant due = clock_.Now() - kCatchUpDelay;
  // Changes of backend servers are collected for a while before they are read.
  return { peerVersions_.ReportedBy(due).configuration,
           peerVersions_.ReportedBy(due - CoalescingDelay()).directory };
}

bool
Gateway::NeedsPeerSnapshot() const
{
  if (stopped_) {
    return false;
  }
  return !IsReady() || !watchSharing_->HasRead(OverdueVersions());
}

void
Gateway::Import(PeerSnapshot aSnapshot)
{
  if (!catalog_.OnPeerGeneration(
        std::max(aSnapshot.configuration.newestChange.generation,
                 aSnapshot.backendServers.newestChange.generation))) {
    return;
  }
  hostRegistry_->Import(std::move(aSnapshot.hosts));
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
Gateway::OnCatalogRestored(const CatalogRestore& aRestore)
{
  ++catalogRestores_;
  LogEvent(LogLevel::Warning,
           "catalog_restored",
           { { "from", aRestore.fromGeneration },
             { "to", aRestore.toGeneration },
             { "call", aRestore.source },
             { "version_in_force", ConfigurationVersion() } });
  directoryBuilder_.OnCatalogRestored();
  ScheduleEndOfDepartures();
  watchSharing_->OnCatalogRestored(aRestore.toGeneration);
  hostRegistry_->OnCatalogRestored();
}

void
Gateway::OnNewerVersions(const KnownVersions& aKnown, const Endpoint& aSender)
{
  if (!catalog_.OnPeerGeneration(std::max(aKnown.configuration.generation,
                                          aKnown.directory.generation))) {
    return;
  }
  const auto& hosts = hostRegistry_->ListedHosts();
  const auto sender = std::ranges::find(hosts, aSender, &PeerHost::address);
  if (sender != hosts.end() && sender->snapshot.port != 0) {
    snapshotClient_->Prefer(sender->snapshot);
  }
  peerVersions_.Report(aKnown, clock_.Now());
  if (!catchUpTimer_.isActive()) {
    catchUpTimer_.start(kCatchUpCheckInterval);
  }
}

void
Gateway::OnHeartbeat(const WatcherHeartbeat& aHeartbeat,
                     const Endpoint& aSender)
{
  if (!catalog_.OnPeerGeneration(
        std::max(aHeartbeat.known.configuration.generation,
                 aHeartbeat.known.directory.generation))) {
    return;
  }
  watchSharing_->OnHeartbeat(aHeartbeat, aSender);
  if (NeedsPeerSnapshot()) {
    snapshotClient_->Prefer({ aSender.address, aHeartbeat.snapshotPort });
  }
  // The changes requested from the watcher usually arrive before the catch-up
  // delay ends.
  if (!watchSharing_->HasRead(aHeartbeat.known)) {
    OnNewerVersions(aHeartbeat.known, aSender);
  }
}

void
Gateway::CatchUp()
{
  if (watchSharing_->HasRead(peerVersions_.Newest())) {
    catchUpTimer_.stop();
    return;
  }
  const KnownVersions overdue = OverdueVersions();
  if (watchSharing_->HasRead(overdue)) {
    return;
  }
  configurationFollower_->CatchUp(overdue.configuration);
  serverFollower_->CatchUp(overdue.directory);
  // The catalog may refuse this host while it serves others.
  snapshotClient_->Start();
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
Gateway::ConfirmKeys()
{
  ConfigurationContact contact = watchSharing_->Contact();
  contact.isComplete = contact.isComplete && knowledgeClient_->IsDone() &&
                       configuration_.Routing() != nullptr;
  contact.lacksReportedChange =
    !configurationFollower_->HasRead(peerVersions_.Newest().configuration);
  if (const auto at = ConfirmedAt(contact)) {
    keys_.Confirm(*at);
    trafficThread_.Post([this, at = *at] { traffic_->ConfirmKeys(at); });
  }
  const bool areCurrent = keys_.MayJudge(clock_.Now());
  if (areCurrent == std::exchange(areKeysCurrent_, areCurrent)) {
    return;
  }
  LogEvent(areCurrent ? LogLevel::Info : LogLevel::Warning,
           areCurrent ? "keys_current" : "keys_not_current",
           { { "version", ConfigurationVersion() },
             { "reported_change_missing", contact.lacksReportedChange } });
}

void
Gateway::LogCatalogCalls()
{
  const std::uint64_t calls = catalog_.TotalCalls();
  if (calls == std::exchange(loggedCatalogCalls_, calls)) {
    return;
  }
  LogEvent(LogLevel::Info,
           "catalog_calls",
           { { "total", calls }, { "calls", catalog_.FormatForLog() } });
}

void
Gateway::ApplySettings(const GatewaySettings& aSettings)
{
  GatewaySettings applied = settings_;
  applied.stopTime = aSettings.stopTime;
  applied.extraAttemptRatio = aSettings.extraAttemptRatio;
  applied.extraAttemptBurst = aSettings.extraAttemptBurst;
  applied.extraAttemptWindow = aSettings.extraAttemptWindow;
  applied.catalog = aSettings.catalog;
  const bool hasCatalogMoved = applied.catalog != settings_.catalog;
  needsRestart_ = applied != aSettings;
  LogEvent(needsRestart_ ? LogLevel::Warning : LogLevel::Info,
           "settings_applied",
           { { "changed", applied != settings_ },
             { "needs_restart", needsRestart_ } });
  settings_ = applied;
  if (hasCatalogMoved) {
    catalog_.SetEndpoint(settings_.catalog);
    watchSharing_->OnCatalogMoved();
  }
  trafficThread_.Post(
    [this, applied] { traffic_->SetExtraAttemptLimits(applied); });
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
  watchSharing_->StopHeartbeats();
  hostRegistry_->Unregister();
  const Instant stopsAt = stoppingSince_ + settings_.stopTime - kStopMargin;
  trafficThread_.Post(
    [this, stopsAt] { traffic_->BeginStop(stopsAt - kLastResponseTime); });
  stopTimer_.start(kStopCheckInterval);
}

void
Gateway::CheckStopped()
{
  const Duration elapsed = clock_.Now() - stoppingSince_;
  if (elapsed < kBalancerDrainTime) {
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
  LogCatalogCalls();
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
  std::string text = metrics_.Format() + catalog_.FormatMetrics();
  const auto gauge = [&text](std::string_view aName, auto aValue) {
    AppendMetric(text, "gauge", aName, aValue);
  };
  gauge("filbertbeam_ready", IsReady() ? 1 : 0);
  gauge("filbertbeam_settings_need_restart", needsRestart_ ? 1 : 0);
  gauge("filbertbeam_configuration_version", ConfigurationVersion());
  gauge("filbertbeam_catalog_watcher", IsWatcher() ? 1 : 0);
  gauge("filbertbeam_directory_catalog_revision",
        serverFollower_->Version().revision);
  gauge("filbertbeam_catalog_generation", catalog_.Generation());
  gauge("filbertbeam_departures_kept", directoryBuilder_.KeptDepartures());
  gauge("filbertbeam_outdated_writes_kept", serverFollower_->OutdatedObjects());
  AppendMetric(
    text, "counter", "filbertbeam_catalog_restores_total", catalogRestores_);
  gauge("filbertbeam_catalog_reachable",
        serverFollower_->IsReachable() && configurationFollower_->IsReachable()
          ? 1
          : 0);
  return text;
}

} // namespace filbertbeam
