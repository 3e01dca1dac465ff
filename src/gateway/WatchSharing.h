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
  using BeatSender = std::function<void(const WatcherBeat&)>;

  // References have to outlive the object. aSendBeat is to send a beat to the
  // failure domain of aSelf.
  WatchSharing(PeerHost aSelf,
               CatalogFollower& aConfiguration,
               CatalogFollower& aServers,
               const Clock& aClock,
               BeatSender aSendBeat);

  void Start();
  // Watches for no others from now on.
  void StopBeats() { mayBeat_ = false; }
  void SetHosts(std::span<const PeerHost> aHosts);
  void OnBeat(const WatcherBeat& aBeat, const Endpoint& aSender);
  // True when the copies of this host show the changes of aKnown.
  bool HasRead(const KnownVersions& aKnown) const;
  // True while this host watches for others.
  bool IsWatcher() const { return duty_.beats && mayBeat_; }
  // A follower has a newer copy; those that follow this host learn of it at
  // once.
  void OnNewerCopy();

private:
  bool IsReading() const;
  void Tick();
  void FetchFrom(const WatcherBeat& aBeat, const Endpoint& aSender);
  void OnFetched(const WatcherBeat& aBeat, const PlatformReply& aReply);
  // aNewest is the change that the watcher told of.
  static void Take(CatalogFollower& aFollower,
                   const CatalogChanges& aChanges,
                   std::uint64_t aNewest);

  const PeerHost self_;
  CatalogFollower& configuration_;
  CatalogFollower& servers_;
  const Clock& clock_;
  const BeatSender sendBeat_;
  WatcherElection election_;
  WatcherDuty duty_;
  bool mayBeat_ = true;
  PlatformClient client_;
  bool isFetching_ = false;
  QTimer tickTimer_;
  Instant lastBeat_;
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
