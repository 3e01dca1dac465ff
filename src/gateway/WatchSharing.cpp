#include "gateway/WatchSharing.h"

#include "base/Log.h"
#include "gateway/PeerData.h"
#include "gateway/PeerRequest.h"

#include <QUrlQuery>

#include <algorithm>
#include <iterator>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Half of the heartbeat interval, so that a lost watcher is detected soon after
// it times out.
constexpr milliseconds kTick = kWatcherHeartbeatInterval / 2;
// A heartbeat is due at each second tick, also if the last one was sent shortly
// after a tick.
constexpr milliseconds kShortestHeartbeatPause =
  kWatcherHeartbeatInterval - kTick / 2;

// The first watcher asks the catalog when its last response is older than this:
// at each fourth tick. Its hosts stop following it a while after that.
constexpr milliseconds kFirstWatcherProbeAge{ 700 };
// The others ask when the first watcher seems to get no response, early enough
// for the hosts that follow both.
constexpr milliseconds kProbeAge{ 1'000 };
// Without another reason, a host with a watch that waits asks after this time.
constexpr milliseconds kLongestProbePause{ 3'000 };

// After a restore of the catalog, a watcher's copy usually arrives before this
// delay ends. The spread keeps hosts that get none from listing together; both
// keep the hosts within one second of each other.
constexpr milliseconds kRestoredListDelay{ 300 };
constexpr milliseconds kRestoredListSpread{ 500 };

constexpr int kOk = 200;

constexpr std::string_view kChangesPath = "/changes";
// Any other path gets the snapshot.
constexpr const char* kSnapshotPath = "/";
constexpr const char* kConfiguration = "configuration";
constexpr const char* kBackendServers = "backend_servers";

} // namespace

std::string
PeerChangesTarget(const CatalogVersion& aConfiguration,
                  const CatalogVersion& aServers)
{
  return fmt::format("{}?{}={}&{}={}",
                     kChangesPath,
                     kConfiguration,
                     FormatCatalogVersion(aConfiguration),
                     kBackendServers,
                     FormatCatalogVersion(aServers));
}

std::optional<PeerChanges>
PeerChangesFor(std::string_view aTarget,
               const CatalogFollower& aConfiguration,
               const CatalogFollower& aServers)
{
  const auto end = aTarget.find('?');
  if (aTarget.substr(0, end) != kChangesPath || end == std::string_view::npos) {
    return std::nullopt;
  }
  const QUrlQuery query(
    QString::fromStdString(std::string(aTarget.substr(end + 1))));
  const auto version = [&query](const char* aName) {
    return ParseCatalogVersion(query.queryItemValue(aName).toStdString());
  };
  return PeerChanges{
    aConfiguration.ChangesAfter(version(kConfiguration)),
    aServers.ChangesAfter(version(kBackendServers)),
  };
}

WatchSharing::WatchSharing(PeerHost aSelf,
                           ObjectCatalog& aCatalog,
                           CatalogFollower& aConfiguration,
                           CatalogFollower& aServers,
                           const Clock& aClock,
                           Random& aRandom,
                           HeartbeatSender aSendHeartbeat)
  : self_(std::move(aSelf))
  , configuration_(aConfiguration)
  , servers_(aServers)
  , probe_(
      aCatalog,
      aClock,
      [this] { return configuration_.IsWatching() || servers_.IsWatching(); },
      [this] { SendHeartbeat(); },
      [this](const CatalogFailure& aFailure) {
        configuration_.OnCatalogUnresponsive(aFailure);
        servers_.OnCatalogUnresponsive(aFailure);
      })
  , clock_(aClock)
  , random_(aRandom)
  , sendHeartbeat_(std::move(aSendHeartbeat))
  , election_(self_.name, self_.processorCores)
  , client_({}, PeerClientLimits())
{
  tickTimer_.callOnTimeout([this] { Tick(); });
}

void
WatchSharing::Start(milliseconds aFirstWatcherWait)
{
  firstWatcherWait_ = aFirstWatcherWait;
  tickTimer_.start(kTick);
}

void
WatchSharing::OnCatalogMoved()
{
  configuration_.WatchAgain();
  servers_.WatchAgain();
}

void
WatchSharing::SetHosts(std::span<const PeerHost> aHosts)
{
  std::vector<PeerHost> peers;
  std::ranges::copy_if(
    aHosts, std::back_inserter(peers), [this](const PeerHost& aHost) {
      return aHost.domain == self_.domain && aHost.name != self_.name;
    });
  election_.SetPeers(peers);
  // A starting host learns here that it need not watch.
  Tick();
}

bool
WatchSharing::HasRead(const KnownVersions& aKnown) const
{
  return configuration_.HasRead(aKnown.configuration) &&
         servers_.HasRead(aKnown.directory);
}

bool
WatchSharing::IsCatalogReachable() const
{
  return configuration_.IsReachable() && servers_.IsReachable();
}

bool
WatchSharing::HasCatalogResponded() const
{
  return configuration_.HasResponded() && servers_.HasResponded();
}

Duration
WatchSharing::CatalogAge() const
{
  const auto respondedAt = std::max({ configuration_.RespondedAt(),
                                      servers_.RespondedAt(),
                                      probe_.RespondedAt(),
                                      election_.CatalogRespondedAt() });
  return respondedAt ? clock_.Now() - *respondedAt : Duration::max();
}

bool
WatchSharing::ProbeIfNeeded()
{
  const milliseconds longestAge =
    role_.isFirstWatcher ? kFirstWatcherProbeAge : kProbeAge;
  const bool isNeeded =
    CatalogAge() >= longestAge || probe_.Age() >= kLongestProbePause;
  return isNeeded && probe_.Check();
}

ConfigurationContact
WatchSharing::Contact() const
{
  ConfigurationContact contact;
  contact.isComplete =
    configuration_.IsComplete() && configuration_.Version().IsKnown();
  // A probe would not show that the response to a waiting watch was lost.
  contact.catalogRespondedAt = configuration_.RespondedAt();
  contact.coveredAt = configurationCoveredAt_;
  return contact;
}

Duration
WatchSharing::ConfigurationAge() const
{
  const auto confirmedAt =
    std::max(configuration_.RespondedAt(), configurationCoveredAt_);
  return confirmedAt ? clock_.Now() - *confirmedAt : Duration::max();
}

void
WatchSharing::Tick()
{
  const Instant now = clock_.Now();
  const WatcherRole role = election_.Decide(now);
  if (role.sendsHeartbeats != role_.sendsHeartbeats) {
    LogEvent(LogLevel::Info,
             role.sendsHeartbeats ? "catalog_watcher_began"
                                  : "catalog_watcher_ended",
             { { "host", self_.name }, { "domain", self_.domain } });
  }
  role_ = role;
  const milliseconds wait =
    role.isFirstWatcher ? firstWatcherWait_ : kLongestWatchWait;
  for (CatalogFollower* follower : { &configuration_, &servers_ }) {
    follower->SetWatchWait(wait);
    follower->SetFollowsPeer(!role.watchesCatalog);
  }
  const bool hasResponded = HasCatalogResponded();
  const bool isNews = hasResponded && !hadCatalogResponded_;
  hadCatalogResponded_ = hasResponded;
  // A heartbeat follows with the response to a probe.
  const bool isProbing = ProbeIfNeeded();
  const bool isDue = now - lastHeartbeatAt_ >= kShortestHeartbeatPause;
  if (isNews || (isDue && !isProbing)) {
    SendHeartbeat();
  }
}

void
WatchSharing::SendHeartbeat()
{
  if (!IsWatcher() ||
      (!HasCatalogResponded() && !role_.sendsHeartbeatsInOutage)) {
    return;
  }
  lastHeartbeatAt_ = clock_.Now();
  const CatalogProgress configuration = configuration_.Progress();
  const CatalogProgress servers = servers_.Progress();
  sendHeartbeat_({ self_.name,
                   HasCatalogResponded(),
                   { configuration.newestChange, servers.newestChange },
                   { configuration.version, servers.version },
                   { configuration.historyBegin, servers.historyBegin },
                   CatalogAge(),
                   ConfigurationAge(),
                   self_.snapshot.port });
}

CatalogProgress
WatchSharing::ConfigurationProgress(const WatcherHeartbeat& aHeartbeat)
{
  return { aHeartbeat.known.configuration,
           aHeartbeat.readUpTo.configuration,
           aHeartbeat.historyBegin.configuration };
}

CatalogProgress
WatchSharing::ServerProgress(const WatcherHeartbeat& aHeartbeat)
{
  return { aHeartbeat.known.directory,
           aHeartbeat.readUpTo.directory,
           aHeartbeat.historyBegin.directory };
}

bool
WatchSharing::IsCoveredBy(const WatcherHeartbeat& aHeartbeat) const
{
  return configuration_.IsCoveredBy(ConfigurationProgress(aHeartbeat)) &&
         servers_.IsCoveredBy(ServerProgress(aHeartbeat));
}

bool
WatchSharing::IsBehind(const WatcherHeartbeat& aHeartbeat) const
{
  if (!HasRead(aHeartbeat.known)) {
    return true;
  }
  const bool isCovered =
    coveredAt_ && clock_.Now() - *coveredAt_ <= kWatcherHeartbeatTimeout;
  return !isCovered && !IsCoveredBy(aHeartbeat);
}

void
WatchSharing::OnHeartbeat(const WatcherHeartbeat& aHeartbeat,
                          const Endpoint& aSender)
{
  if (!aHeartbeat.isCatalogReachable) {
    // Another host takes over.
    election_.OnUnreachable(aHeartbeat.host);
    return;
  }
  election_.OnHeartbeat(
    aHeartbeat.host, clock_.Now(), clock_.Now() - aHeartbeat.catalogAge);
  if (aHeartbeat.catalogAge <= kCatalogResponseTimeout) {
    configuration_.OnCatalogResponds();
    servers_.OnCatalogResponds();
  }
  configuration_.OnPeerProgress(ConfigurationProgress(aHeartbeat));
  servers_.OnPeerProgress(ServerProgress(aHeartbeat));
  if (IsCoveredBy(aHeartbeat)) {
    coveredAt_ = clock_.Now();
  }
  if (configuration_.HasRead(aHeartbeat.known.configuration) &&
      configuration_.IsCoveredBy(ConfigurationProgress(aHeartbeat))) {
    configurationCoveredAt_ =
      std::max(configurationCoveredAt_,
               std::optional(clock_.Now() - aHeartbeat.configurationAge));
  }
  // A watcher that can read the catalog receives the change from it, unless it
  // waits to list it.
  const bool needsWatcher =
    !role_.watchesCatalog || !HasCatalogResponded() || !IsListed();
  if (needsWatcher && IsBehind(aHeartbeat) && !IsListing() && !isFetching_) {
    FetchFrom(aHeartbeat, aSender);
  }
}

bool
WatchSharing::IsListing() const
{
  return IsCatalogReachable() &&
         (configuration_.IsListing() || servers_.IsListing());
}

bool
WatchSharing::IsListed() const
{
  return configuration_.Version().IsKnown() && servers_.Version().IsKnown();
}

void
WatchSharing::OnCatalogRestored(std::uint64_t aGeneration)
{
  const bool isFirst =
    IsWatcher() && (IsCatalogReachable() || role_.sendsHeartbeatsInOutage);
  const milliseconds delay =
    isFirst ? milliseconds(0)
            : kRestoredListDelay +
                milliseconds(random_.Below(
                  static_cast<std::uint64_t>(kRestoredListSpread.count())));
  configuration_.OnCatalogRestored(aGeneration, delay);
  servers_.OnCatalogRestored(aGeneration, delay);
}

void
WatchSharing::FetchFrom(const WatcherHeartbeat& aHeartbeat,
                        const Endpoint& aSender)
{
  isFetching_ = true;
  client_.SetEndpoints({ { aSender.address, aHeartbeat.snapshotPort } });
  if (!IsListed()) {
    // There is no version after which changes could be applied.
    FetchSnapshot(aHeartbeat);
    return;
  }
  GetFromPeer(client_,
              PackedTarget(PeerChangesTarget(configuration_.Version(),
                                             servers_.Version())),
              [this, aHeartbeat](const PlatformReply& aReply) {
                isFetching_ = false;
                OnFetched(aHeartbeat, aReply);
              });
}

void
WatchSharing::OnFetched(const WatcherHeartbeat& aHeartbeat,
                        const PlatformReply& aReply)
{
  const auto text = aReply.status == kOk ? UnpackPeerData(aReply.body)
                                         : std::optional<std::string>();
  const auto changes =
    text ? DecodePeerChanges(*text) : std::optional<PeerChanges>();
  if (!changes) {
    OnNoResponse(aHeartbeat, aReply);
    return;
  }
  ApplyChanges(configuration_, changes->configuration);
  ApplyChanges(servers_, changes->backendServers);
  if (IsBehind(aHeartbeat)) {
    FetchSnapshot(aHeartbeat);
  }
}

void
WatchSharing::ApplyChanges(CatalogFollower& aFollower,
                           const CatalogChanges& aChanges)
{
  if (aChanges.failure.error == CatalogError::None) {
    aFollower.ApplyPeerChanges(aChanges);
  }
}

void
WatchSharing::FetchSnapshot(const WatcherHeartbeat& aHeartbeat)
{
  LogEvent(
    LogLevel::Info,
    "watcher_history_too_short",
    { { "watcher", aHeartbeat.host },
      { "configuration", FormatCatalogVersion(configuration_.Version()) },
      { "backend_servers", FormatCatalogVersion(servers_.Version()) } });
  isFetching_ = true;
  GetFromPeer(client_,
              PackedTarget(kSnapshotPath),
              [this, aHeartbeat](const PlatformReply& aReply) {
                isFetching_ = false;
                OnSnapshot(aHeartbeat, aReply);
              });
}

void
WatchSharing::OnSnapshot(const WatcherHeartbeat& aHeartbeat,
                         const PlatformReply& aReply)
{
  const auto text = aReply.status == kOk ? UnpackPeerData(aReply.body)
                                         : std::optional<std::string>();
  auto snapshot =
    text ? DecodePeerSnapshot(*text) : std::optional<PeerSnapshot>();
  if (!snapshot) {
    OnNoResponse(aHeartbeat, aReply);
    return;
  }
  configuration_.Import(std::move(snapshot->configuration));
  servers_.Import(std::move(snapshot->backendServers));
}

void
WatchSharing::OnNoResponse(const WatcherHeartbeat& aHeartbeat,
                           const PlatformReply& aReply)
{
  LogEvent(LogLevel::Info,
           "watcher_did_not_answer",
           { { "watcher", aHeartbeat.host },
             { "status", aReply.status },
             { "reason", aReply.reason } });
  election_.OnUnreachable(aHeartbeat.host);
  Tick();
}

} // namespace filbertbeam
