#include "gateway/WatchSharing.h"

#include "base/Log.h"
#include "gateway/PeerCall.h"

#include <QUrlQuery>

#include <algorithm>
#include <iterator>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Half of the time between beats, so that a watcher that is lost is noticed
// soon after its silence is long enough.
constexpr milliseconds kTick = kWatcherBeatInterval / 2;

constexpr int kOk = 200;

constexpr std::string_view kChangesPath = "/changes";
constexpr const char* kConfiguration = "configuration";
constexpr const char* kBackendServers = "backend_servers";

} // namespace

std::string
PeerChangesTarget(std::uint64_t aConfiguration, std::uint64_t aServers)
{
  return fmt::format("{}?{}={}&{}={}",
                     kChangesPath,
                     kConfiguration,
                     aConfiguration,
                     kBackendServers,
                     aServers);
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
  const auto revision = [&query](const char* aName) {
    return query.queryItemValue(aName).toULongLong();
  };
  return PeerChanges{
    aConfiguration.ChangesAfter(revision(kConfiguration)),
    aServers.ChangesAfter(revision(kBackendServers)),
  };
}

WatchSharing::WatchSharing(PeerHost aSelf,
                           CatalogFollower& aConfiguration,
                           CatalogFollower& aServers,
                           const Clock& aClock,
                           BeatSender aSendBeat)
  : self_(std::move(aSelf))
  , configuration_(aConfiguration)
  , servers_(aServers)
  , clock_(aClock)
  , sendBeat_(std::move(aSendBeat))
  , election_(self_.name, self_.processorCores)
  , client_({}, PeerClientLimits())
{
  tickTimer_.callOnTimeout([this] { Tick(); });
}

void
WatchSharing::Start()
{
  tickTimer_.start(kTick);
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
}

bool
WatchSharing::HasRead(const KnownVersions& aKnown) const
{
  return configuration_.HasRead(aKnown.configuration) &&
         servers_.HasRead(aKnown.directory);
}

bool
WatchSharing::IsReading() const
{
  return configuration_.IsReachable() && servers_.IsReachable();
}

void
WatchSharing::Tick()
{
  const Instant now = clock_.Now();
  const WatcherDuty duty = election_.Decide(now);
  if (duty.beats != duty_.beats) {
    LogEvent(LogLevel::Info,
             duty.beats ? "catalog_watcher_began" : "catalog_watcher_ended",
             { { "host", self_.name }, { "domain", self_.domain } });
  }
  duty_ = duty;
  configuration_.SetFollowsPeer(!duty.watches);
  servers_.SetFollowsPeer(!duty.watches);
  if (now - lastBeat_ >= kWatcherBeatInterval) {
    OnNewerCopy();
  }
}

void
WatchSharing::OnNewerCopy()
{
  if (!IsWatcher() || (!IsReading() && !duty_.beatsInOutage)) {
    return;
  }
  lastBeat_ = clock_.Now();
  sendBeat_({ self_.name,
              IsReading(),
              { configuration_.NewestChange(), servers_.NewestChange() },
              { configuration_.Revision(), servers_.Revision() },
              self_.snapshot.port });
}

void
WatchSharing::OnBeat(const WatcherBeat& aBeat, const Endpoint& aSender)
{
  if (!aBeat.isReading) {
    // Another one takes over.
    election_.OnUnreachable(aBeat.host);
    return;
  }
  election_.OnBeat(aBeat.host, clock_.Now());
  configuration_.OnPeerRevision(aBeat.known.configuration,
                                aBeat.readUpTo.configuration);
  servers_.OnPeerRevision(aBeat.known.directory, aBeat.readUpTo.directory);
  const bool isBehind = !HasRead(aBeat.known);
  // A watcher that reads learns of the change by itself.
  const bool needsWatcher = !duty_.watches || !IsReading();
  if (isBehind && needsWatcher && !isFetching_) {
    FetchFrom(aBeat, aSender);
  }
}

void
WatchSharing::FetchFrom(const WatcherBeat& aBeat, const Endpoint& aSender)
{
  isFetching_ = true;
  client_.SetEndpoints({ { aSender.address, aBeat.snapshotPort } });
  GetFromPeer(client_,
              PeerChangesTarget(configuration_.Revision(), servers_.Revision()),
              [this, aBeat](const PlatformReply& aReply) {
                isFetching_ = false;
                OnFetched(aBeat, aReply);
              });
}

void
WatchSharing::OnFetched(const WatcherBeat& aBeat, const PlatformReply& aReply)
{
  const auto changes = aReply.status == kOk ? DecodePeerChanges(aReply.body)
                                            : std::optional<PeerChanges>();
  if (!changes) {
    LogEvent(LogLevel::Info,
             "watcher_did_not_answer",
             { { "watcher", aBeat.host },
               { "status", aReply.status },
               { "reason", aReply.reason } });
    election_.OnUnreachable(aBeat.host);
    Tick();
    return;
  }
  Take(configuration_, changes->configuration, aBeat.known.configuration);
  Take(servers_, changes->backendServers, aBeat.known.directory);
}

void
WatchSharing::Take(CatalogFollower& aFollower,
                   const CatalogChanges& aChanges,
                   std::uint64_t aNewest)
{
  if (aChanges.failure.error == CatalogError::None) {
    aFollower.ApplyPeerChanges(aChanges);
  } else if (!aFollower.HasRead(aNewest)) {
    aFollower.ReadAgain(aChanges.failure.reason);
  }
}

} // namespace filbertbeam
