#pragma once

#include "balancing/SelectionMessages.h"
#include "catalog/CatalogFollower.h"
#include "gateway/PeerSnapshot.h"
#include "gateway/WatcherElection.h"
#include "store/PlatformClient.h"

#include <QTimer>

#include <functional>
#include <span>

namespace filbertbeam {

// Keeps the number of watches small: a few hosts of each failure domain watch
// the catalog and beat; the others follow them and fetch what has changed from
// the watcher that told of it. A host that hears no watcher watches itself.
class WatchSharing
{
public:
  using HeartbeatSender = std::function<void(const WatcherBeat&)>;

  // References have to outlive the object. aSendHeartbeat is to send a beat to
  // the failure domain of aSelf.
  WatchSharing(PeerHost aSelf,
               CatalogFollower& aConfiguration,
               CatalogFollower& aServers,
               const Clock& aClock,
               HeartbeatSender aSendHeartbeat);

  void Start();
  // Watches for no others from now on.
  void StopHeartbeats() { maySendHeartbeats_ = false; }
  void SetHosts(std::span<const PeerHost> aHosts);
  void OnHeartbeat(const WatcherBeat& aHeartbeat, const Endpoint& aSender);
  // True when the copies of this host show the changes of aKnown.
  bool Knows(const KnownVersions& aKnown) const;
  // True while this host watches for others.
  bool IsWatcher() const { return role_.sendsHeartbeats && maySendHeartbeats_; }
  // A follower has a newer copy; those that follow this host learn of it at
  // once.
  void OnNewerCopy();

private:
  bool IsCatalogReachable() const;
  void Tick();
  void FetchFrom(const WatcherBeat& aHeartbeat, const Endpoint& aSender);
  void OnFetched(const WatcherBeat& aHeartbeat, const PlatformReply& aReply);
  // aNewest is the change that the watcher told of.
  static void ApplyChanges(CatalogFollower& aFollower,
                           const CatalogChanges& aChanges,
                           std::uint64_t aNewest);

  const PeerHost self_;
  CatalogFollower& configuration_;
  CatalogFollower& servers_;
  const Clock& clock_;
  const HeartbeatSender sendHeartbeat_;
  WatcherElection election_;
  WatcherRole role_;
  bool maySendHeartbeats_ = true;
  PlatformClient client_;
  bool isFetching_ = false;
  QTimer tickTimer_;
  Instant lastHeartbeatAt_;
};

// The request by which a host asks a watcher for the changes after what it has
// read itself.
std::string
PeerChangesTarget(std::uint64_t aConfiguration, std::uint64_t aServers);

// The changes that such a request asks for; nothing for another target.
std::optional<PeerChanges>
PeerChangesFor(std::string_view aTarget,
               const CatalogFollower& aConfiguration,
               const CatalogFollower& aServers);

} // namespace filbertbeam
