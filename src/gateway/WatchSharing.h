#pragma once

#include "balancing/SelectionMessages.h"
#include "catalog/CatalogFollower.h"
#include "catalog/CatalogProbe.h"
#include "gateway/KeyKnowledge.h"
#include "gateway/PeerSnapshot.h"
#include "gateway/WatcherElection.h"
#include "store/PlatformClient.h"

#include <QTimer>

#include <functional>
#include <span>

namespace filbertbeam {

// Keeps the number of catalog watches small. A few hosts of each failure domain
// watch the catalog and send heartbeats; the others follow them and fetch
// changes from the watcher that reported them. A host that hears of no watcher
// to which the catalog has just responded watches the catalog itself. The
// watches of the first watcher of a domain wait for a short time only: a
// response that the catalog loses without an error is then noticed by one host
// that the others hear. A host that is so far behind that its watcher no longer
// has all changes fetches the watcher's whole copy, so that a wave of changes
// does not make all hosts list the catalog.
class WatchSharing
{
public:
  using HeartbeatSender = std::function<void(const WatcherHeartbeat&)>;

  // References have to outlive the object. aSendHeartbeat has to send a
  // heartbeat to the hosts of aSelf's failure domain.
  WatchSharing(PeerHost aSelf,
               ObjectCatalog& aCatalog,
               CatalogFollower& aConfiguration,
               CatalogFollower& aServers,
               const Clock& aClock,
               Random& aRandom,
               HeartbeatSender aSendHeartbeat);

  // While this host is the first watcher, its watches wait for
  // aFirstWatcherWait.
  void Start(std::chrono::milliseconds aFirstWatcherWait);
  // The catalog is served at another address.
  void OnCatalogMoved();
  // Sends no heartbeats from now on, so that other hosts take over.
  void StopHeartbeats() { maySendHeartbeats_ = false; }
  void SetHosts(std::span<const PeerHost> aHosts);
  void OnHeartbeat(const WatcherHeartbeat& aHeartbeat, const Endpoint& aSender);
  // True when this host has read all changes up to aKnown.
  bool HasRead(const KnownVersions& aKnown) const;
  // How far this host's configuration is known to be current, as the catalog
  // and the heartbeats show.
  ConfigurationContact Contact() const;
  // The catalog was restored from an older copy and is now in aGeneration. The
  // hosts that watch for the others list it at once; the others import their
  // copy, or list after a while.
  void OnCatalogRestored(std::uint64_t aGeneration);
  // True while this host watches the catalog for others.
  bool IsWatcher() const { return role_.sendsHeartbeats && maySendHeartbeats_; }
  // Called when a follower has a newer copy. Sends a heartbeat at once, so that
  // the hosts that follow this one fetch the changes.
  void OnNewerCopy() { SendHeartbeat(); }

private:
  // A heartbeat's report of one collection.
  static CatalogProgress ConfigurationProgress(
    const WatcherHeartbeat& aHeartbeat);
  static CatalogProgress ServerProgress(const WatcherHeartbeat& aHeartbeat);
  // True when the sender knows each change that this host has not read.
  bool IsCoveredBy(const WatcherHeartbeat& aHeartbeat) const;
  // True when this host lacks changes that the sender has, or may lack changes
  // that no other watcher reports.
  bool IsBehind(const WatcherHeartbeat& aHeartbeat) const;
  bool IsCatalogReachable() const;
  // True when the catalog has responded since this host began to watch it, and
  // to its latest calls.
  bool HasCatalogResponded() const;
  // The time since the last response of the catalog to any call of this host,
  // or of a watcher that ranks before it.
  Duration CatalogAge() const;
  // Checks whether the catalog responds if that is not known well enough.
  // Returns true when a check was sent.
  bool ProbeIfNeeded();
  // The time since the catalog last confirmed this host's configuration, also
  // by the word of a watcher.
  Duration ConfigurationAge() const;
  // True while this host reads a whole collection from the catalog.
  bool IsListing() const;
  // False until both collections have been read, also from a restore of the
  // catalog on.
  bool IsListed() const;
  void Tick();
  void SendHeartbeat();
  void FetchFrom(const WatcherHeartbeat& aHeartbeat, const Endpoint& aSender);
  void OnFetched(const WatcherHeartbeat& aHeartbeat,
                 const PlatformReply& aReply);
  // Does nothing when the watcher no longer has all of the changes.
  static void ApplyChanges(CatalogFollower& aFollower,
                           const CatalogChanges& aChanges);
  // Fetches the whole copy of the watcher instead of its changes.
  void FetchSnapshot(const WatcherHeartbeat& aHeartbeat);
  void OnSnapshot(const WatcherHeartbeat& aHeartbeat,
                  const PlatformReply& aReply);
  void OnNoResponse(const WatcherHeartbeat& aHeartbeat,
                    const PlatformReply& aReply);

  const PeerHost self_;
  CatalogFollower& configuration_;
  CatalogFollower& servers_;
  CatalogProbe probe_;
  const Clock& clock_;
  Random& random_;
  const HeartbeatSender sendHeartbeat_;
  WatcherElection election_;
  WatcherRole role_;
  std::chrono::milliseconds firstWatcherWait_ = kLongestWatchWait;
  bool maySendHeartbeats_ = true;
  // What HasCatalogResponded() returned at the last tick.
  bool hadCatalogResponded_ = false;
  PlatformClient client_;
  bool isFetching_ = false;
  QTimer tickTimer_;
  Instant lastHeartbeatAt_;
  // When a watcher that knows all changes which this host lacks last sent a
  // heartbeat; empty before the first one.
  std::optional<Instant> coveredAt_;
  // When the catalog last confirmed, to a watcher that has no newer one, the
  // configuration of this host.
  std::optional<Instant> configurationCoveredAt_;
};

// Returns the target of a request to a watcher for the changes after the given
// versions.
std::string
PeerChangesTarget(const CatalogVersion& aConfiguration,
                  const CatalogVersion& aServers);

// Returns the changes that a request for aTarget asks for, or nullopt for a
// target of another kind.
std::optional<PeerChanges>
PeerChangesFor(std::string_view aTarget,
               const CatalogFollower& aConfiguration,
               const CatalogFollower& aServers);

} // namespace filbertbeam
