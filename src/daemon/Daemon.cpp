#include "daemon/Daemon.h"

#include "base/Log.h"
#include "base/MetricText.h"
#include "daemon/PeerConfigurationSource.h"
#include "daemon/RelayAuthentication.h"
#include "membership/UdpControlChannel.h"
#include "store/CatalogObjectStore.h"

#include <QDateTime>
#include <QJsonArray>

#include <fmt/format.h>

#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kFollowerInterval{ 100 };
constexpr milliseconds kStopCheckInterval{ 100 };

// A stopping host accepts new requests for this long, until the load balancer
// and other hosts have received its leaving state.
constexpr seconds kMinLeavingTime{ 3 };

// Once all requests have finished, the host waits until this time after the
// start of the stop for the store to accept the remaining claim outcomes.
// Claims that remain undecided are safe: later attempts get the outcome
// "unknown".
constexpr seconds kMaxWaitForClaims{ 30 };

// Number of hosts per failure domain that watch the store.
constexpr int kWatchersPerDomain = 2;

std::uint64_t
NewIncarnation(Random& aRandom)
{
  std::uint64_t incarnation = 0;
  while (incarnation == 0) {
    incarnation = aRandom.Next();
  }
  return incarnation;
}

Member
CreateSelfMember(const DaemonSettings& aSettings, std::uint64_t aIncarnation)
{
  Member self;
  self.host = aSettings.host;
  self.region = aSettings.region;
  self.domain = aSettings.domain;
  self.incarnation = aIncarnation;
  self.relay = aSettings.relay;
  self.control = aSettings.control;
  return self;
}

QString
ToQString(std::string_view aText)
{
  return QString::fromUtf8(aText.data(), static_cast<qsizetype>(aText.size()));
}

QString
FormatTime(std::chrono::system_clock::time_point aTime)
{
  const auto sinceEpoch =
    std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch());
  return QDateTime::fromMSecsSinceEpoch(sinceEpoch.count(), Qt::UTC)
    .toString(Qt::ISODateWithMs);
}

std::optional<EventSubject>
ParseSubject(std::string_view aKind)
{
  if (aKind == "customer") {
    return EventSubject::Customer;
  }
  if (aKind == "backend-server") {
    return EventSubject::BackendServer;
  }
  if (aKind == "request") {
    return EventSubject::Request;
  }
  if (aKind == "host") {
    return EventSubject::Host;
  }
  return std::nullopt;
}

QJsonObject
EventToJson(const QString& aTime, const QString& aText)
{
  QJsonObject event;
  event["time"] = aTime;
  event["text"] = aText;
  return event;
}

} // namespace

Daemon::Daemon(const DaemonSettings& aSettings)
  : settings_(aSettings)
  , incarnation_(NewIncarnation(random_))
{
}

Daemon::~Daemon()
{
  admin_.reset();
  entryThread_.Run([this] { entry_.reset(); });
  ownerThread_.Run([this] { owner_.reset(); });
}

std::unique_ptr<Daemon>
Daemon::Create(const DaemonSettings& aSettings,
               const CatalogFactory& aOpenCatalog,
               std::string& aReason)
{
  std::unique_ptr<Daemon> daemon(new Daemon(aSettings));
  if (!daemon->Start(aOpenCatalog, aReason)) {
    return nullptr;
  }
  return daemon;
}

bool
Daemon::Start(const CatalogFactory& aOpenCatalog, std::string& aReason)
{
  client_ = HttpClient::Create(HttpClientLimits{});
  std::unique_ptr<ObjectCatalog> configurationCatalog = aOpenCatalog(aReason);
  hostCatalog_ = aOpenCatalog(aReason);
  if (!configurationCatalog || !hostCatalog_) {
    return false;
  }
  store_ =
    std::make_unique<CatalogObjectStore>(std::move(configurationCatalog));
  requestSigner_ = CreateRelayRequestSigner(settings_, incarnation_, clock_);
  ControlChannelSettings channel;
  channel.self = { settings_.host, incarnation_ };
  channel.listen = settings_.control;
  channel.secret = settings_.fleetSecret;
  channel_ = UdpControlChannel::Create(channel, clock_, aReason);
  if (!channel_) {
    return false;
  }
  ownerThread_.Run([&] {
    owner_ = OwnerRuntime::Create(settings_,
                                  incarnation_,
                                  clock_,
                                  journal_,
                                  configurationResource_,
                                  aReason);
  });
  if (!owner_) {
    return false;
  }
  entryThread_.Run([&] {
    std::unique_ptr<ObjectCatalog> claimCatalog = aOpenCatalog(aReason);
    if (!claimCatalog) {
      return;
    }
    entry_ = EntryRuntime::Create(
      settings_,
      incarnation_,
      clock_,
      journal_,
      metrics_,
      *requestSigner_,
      std::make_unique<CatalogObjectStore>(std::move(claimCatalog)),
      aReason);
  });
  if (!entry_) {
    return false;
  }
  admin_ = AdminServer::Create(
    settings_.admin, settings_.operatorToken, *this, aReason);
  if (!admin_) {
    return false;
  }
  follower_ = std::make_unique<ConfigurationFollower>(
    *store_,
    clock_,
    random_,
    [this](const ConfigurationFollower::InForce& aInForce) {
      OnConfiguration(aInForce);
    },
    [this](std::function<void()> aWork, std::function<void()> aDone) {
      background_.Run(std::move(aWork), std::move(aDone));
    });
  controlPlane_ =
    std::make_unique<ControlPlane>(CreateSelfMember(settings_, incarnation_),
                                   *hostCatalog_,
                                   *channel_,
                                   clock_,
                                   random_,
                                   journal_,
                                   *this);
  controlPlane_->Start();
  followerTimer_.callOnTimeout([this] { follower_->Tick(); });
  followerTimer_.start(kFollowerInterval);
  stopTimer_.callOnTimeout([this] { CheckStopped(); });
  LogEvent(LogLevel::Info,
           "started",
           { { "host", settings_.host },
             { "region", settings_.region },
             { "domain", settings_.domain },
             { "incarnation", incarnation_ } });
  return true;
}

void
Daemon::OnConfiguration(const ConfigurationFollower::InForce& aInForce)
{
  configuration_ = aInForce.configuration;
  auto documents = std::make_shared<ConfigurationResource::Documents>();
  documents->head = follower_->HeadText();
  std::string reason;
  if (const auto head = ConfigurationHead::Parse(*documents->head, reason)) {
    for (const ConfigurationPartReference& part : head->parts) {
      documents->parts[part.sha256] = follower_->FindPart(part.sha256);
    }
  }
  entryThread_.Post([this, configuration = configuration_] {
    entry_->Service().SetConfiguration(configuration);
  });
  ownerThread_.Post([this, configuration = configuration_, documents] {
    configurationResource_.SetDocuments(documents);
    owner_->Service().SetConfiguration(configuration);
  });
  controlPlane_->SetConfiguration(configuration_);
  LogEvent(
    LogLevel::Info,
    "configuration_in_force",
    { { "revision", configuration_->Revision() },
      { "source", aInForce.source },
      { "author", aInForce.acceptance.author },
      { "since_acceptance_ms",
        std::chrono::duration_cast<milliseconds>(aInForce.sinceAcceptance)
          .count() } });
  journal_.Record(EventSubject::Host,
                  settings_.host,
                  fmt::format("configuration revision {} in force",
                              configuration_->Revision()));
}

void
Daemon::OnView(std::shared_ptr<const MembershipView> aView)
{
  UpdateWatcher(*aView);
  entryThread_.Post([this, aView] { entry_->Service().SetView(aView); });
  ownerThread_.Post([this, aView] { owner_->Service().SetView(aView); });
}

void
Daemon::UpdateWatcher(const MembershipView& aView)
{
  bool isWatcher = false;
  for (int i = 0; i < kWatchersPerDomain; ++i) {
    const Member* watcher =
      aView.OwnerOfShard(fmt::format("configuration-watcher/{}", i),
                         settings_.region,
                         settings_.domain);
    isWatcher = isWatcher || watcher == &aView.Self();
  }
  follower_->SetWatcher(isWatcher);
}

void
Daemon::OnLeavingAddresses(const std::set<std::string>& aAddresses)
{
  ownerThread_.Post(
    [this, aAddresses] { owner_->Service().SetLeavingAddresses(aAddresses); });
}

void
Daemon::OnRevisionReported(std::uint64_t aRevision, const Member& aSource)
{
  if (aRevision <= follower_->Revision()) {
    return;
  }
  follower_->OnRevisionReported(aRevision,
                                std::make_shared<PeerConfigurationSource>(
                                  aSource, *client_, *requestSigner_));
}

void
Daemon::OnShares(std::vector<ShareGrant> aShares)
{
  entryThread_.Post([this, shares = std::move(aShares)] {
    entry_->Limiter().ApplyShares(shares, clock_.Now());
  });
}

void
Daemon::OnDemandReportDue()
{
  entryThread_.Post([this] {
    std::vector<CustomerDemand> demands =
      entry_->Limiter().TakeDemands(clock_.Now());
    if (demands.empty()) {
      return;
    }
    QMetaObject::invokeMethod(
      &followerTimer_,
      [this, demands = std::move(demands)] {
        controlPlane_->SendDemands(demands);
      },
      Qt::QueuedConnection);
  });
}

void
Daemon::Stop(std::function<void()> aOnStopped)
{
  if (onStopped_) {
    return;
  }
  onStopped_ = std::move(aOnStopped);
  stoppingSince_ = clock_.Now();
  LogEvent(LogLevel::Info, "stopping", { { "host", settings_.host } });
  controlPlane_->StartLeaving();
  ownerThread_.Post([this] { owner_->Service().BeginLeaving(); });
  stopTimer_.start(kStopCheckInterval);
}

void
Daemon::CheckStopped()
{
  const Duration elapsed = clock_.Now() - stoppingSince_;
  if (elapsed < kMinLeavingTime) {
    return;
  }
  int running = 0;
  int pendingClaims = 0;
  entryThread_.Run([&] {
    entry_->StopAccepting();
    running += entry_->RunningExchanges();
    pendingClaims = entry_->PendingClaims();
  });
  ownerThread_.Run([&] { running += owner_->RunningExchanges(); });
  if (running > 0) {
    return;
  }
  if (pendingClaims > 0 && elapsed < kMaxWaitForClaims) {
    return;
  }
  stopTimer_.stop();
  LogEvent(
    LogLevel::Info,
    "stopped",
    { { "host", settings_.host },
      { "pending_claims", pendingClaims },
      { "ms", std::chrono::duration_cast<milliseconds>(elapsed).count() } });
  controlPlane_->Unregister(onStopped_);
}

bool
Daemon::IsReady()
{
  return configuration_ && !onStopped_ && controlPlane_->IsViewUsable();
}

std::string
Daemon::Metrics()
{
  std::string text = metrics_.Format();
  AppendMetric(text,
               "gauge",
               "filbertbeam_configuration_revision",
               configuration_ ? configuration_->Revision() : 0);
  AppendMetric(text,
               "gauge",
               "filbertbeam_live_hosts",
               controlPlane_->View()->LiveCount());
  return text;
}

QJsonObject
Daemon::Status()
{
  QJsonObject status;
  status["host"] = ToQString(settings_.host);
  status["ready"] = IsReady();
  status["revision"] =
    configuration_ ? static_cast<qint64>(configuration_->Revision()) : 0;
  QJsonArray hosts;
  const std::shared_ptr<const MembershipView> view = controlPlane_->View();
  for (const Member& member : view->Members()) {
    QJsonObject host;
    host["host"] = ToQString(member.host);
    host["region"] = ToQString(member.region);
    host["domain"] = ToQString(member.domain);
    host["state"] = ToQString(HostStateName(member.state));
    host["revision"] =
      &member == &view->Self()
        ? status["revision"]
        : QJsonValue(static_cast<qint64>(member.configurationRevision));
    hosts.append(host);
  }
  status["hosts"] = hosts;
  QJsonArray servers;
  std::vector<ServerReport> reports;
  ownerThread_.Run([&] { reports = owner_->Service().Report(); });
  for (const ServerReport& report : reports) {
    QJsonObject server;
    server["backend_server"] = ToQString(report.backendServer);
    server["state"] = ToQString(ServerStateName(report.state));
    server["slots"] = report.slots;
    server["used_slots"] = report.usedSlots;
    server["latency_score"] = report.latencyScore;
    server["failure_score"] = report.failureScore;
    server["bound"] = report.bound;
    server["recent_ejections"] = report.recentEjections;
    server["last_reason"] = ToQString(report.lastReason);
    servers.append(server);
  }
  status["backend_servers"] = servers;
  return status;
}

QJsonObject
Daemon::Explain(std::string_view aKind, std::string_view aName)
{
  QJsonArray events;
  const std::optional<EventSubject> subject = ParseSubject(aKind);
  if (subject) {
    for (const JournalEvent& event : journal_.Find(*subject, aName)) {
      events.append(EventToJson(FormatTime(event.time), ToQString(event.text)));
    }
  }
  const QString now = FormatTime(clock_.WallNow());
  const Contract* contract = subject == EventSubject::Customer && configuration_
                               ? configuration_->FindContract(aName)
                               : nullptr;
  if (contract) {
    events.append(EventToJson(
      now,
      ToQString(fmt::format(
        "the contract promises {} requests per second; above it, requests are "
        "served from spare capacity only",
        contract->requestsPerSecond))));
  }
  if (subject == EventSubject::BackendServer) {
    std::vector<ServerReport> reports;
    ownerThread_.Run([&] { reports = owner_->Service().Report(); });
    for (const ServerReport& report : reports) {
      if (report.backendServer != aName) {
        continue;
      }
      events.append(
        EventToJson(now,
                    ToQString(fmt::format(
                      "{} now: latency score {:.2f}, failure score {:.2f}, "
                      "ejected at {:.2f}; {}",
                      ServerStateName(report.state),
                      report.latencyScore,
                      report.failureScore,
                      report.bound,
                      report.lastReason.empty() ? "no ejection recorded"
                                                : report.lastReason))));
    }
  }
  QJsonObject object;
  object["host"] = ToQString(settings_.host);
  object["kind"] = ToQString(aKind);
  object["name"] = ToQString(aName);
  object["events"] = events;
  return object;
}

QJsonObject
Daemon::Burn()
{
  std::vector<BurnRow> rows;
  entryThread_.Run([&] { rows = entry_->ServiceLevel().Report(clock_.Now()); });
  QJsonArray services;
  for (const BurnRow& row : rows) {
    const Service* service =
      configuration_ ? configuration_->FindService(row.service) : nullptr;
    if (!service) {
      continue;
    }
    const double budget = 1.0 - service->availabilityObjective;
    QJsonArray windows;
    for (const BurnWindow& window : row.windows) {
      const double failedShare = window.requests == 0
                                   ? 0.0
                                   : static_cast<double>(window.failed) /
                                       static_cast<double>(window.requests);
      QJsonObject object;
      object["window_s"] = static_cast<qint64>(window.length.count());
      object["requests"] = static_cast<qint64>(window.requests);
      object["failed"] = static_cast<qint64>(window.failed);
      object["burn_rate"] = budget > 0 ? failedShare / budget : 0.0;
      windows.append(object);
    }
    QJsonObject object;
    object["service"] = ToQString(row.service);
    object["customer"] = ToQString(row.customer);
    object["objective"] = service->availabilityObjective;
    object["windows"] = windows;
    services.append(object);
  }
  QJsonObject burn;
  burn["host"] = ToQString(settings_.host);
  burn["services"] = services;
  return burn;
}

} // namespace filbertbeam
