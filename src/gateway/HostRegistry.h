#pragma once

#include "catalog/EntryRegistration.h"
#include "gateway/DeadHostDetector.h"

#include <QTimer>

namespace filbertbeam {

// Registers this host in the catalog, lists the other hosts there and removes
// the entries of dead hosts, which stopped without unregistering.
class HostRegistry
{
public:
  using Handler = std::function<void(std::vector<PeerHost>)>;

  // aOnHosts receives each list of hosts. aProbeHosts has to send probes to
  // hosts, whose responses are passed to OnPeerMessage.
  HostRegistry(ObjectCatalog& aCatalog,
               PeerHost aSelf,
               const Clock& aClock,
               Random& aRandom,
               Handler aOnHosts,
               Handler aProbeHosts);

  void Start();

  // Removes this host from the catalog. If that fails, the remaining entry
  // costs the other hosts a few messages without a response.
  void Unregister();

  // The catalog was restored from an older copy, which may lack this host.
  // Lists the hosts again soon, at a random time, and writes the entry if it is
  // missing. Hosts that the first lists lack are kept until they are complete.
  void OnCatalogRestored();

  // Uses the host list of a peer until the first list has been read.
  void Import(std::vector<PeerHost> aHosts);
  const std::vector<PeerHost>& ListedHosts() const { return listedHosts_; }

  void OnPeerMessage(const std::string& aHost)
  {
    deadHostDetector_.OnPeerMessage(aHost);
  }

private:
  void List(const std::string& aAfter);
  void OnPage(const CatalogPage& aPage);
  void CompleteList(bool aMayBeStale);
  // Adds the hosts of the last list that are missing from the new one.
  void KeepMissingHosts();
  void RemoveDeadHosts();

  ObjectCatalog& catalog_;
  const PeerHost self_;
  const Clock& clock_;
  Random& random_;
  EntryRegistration registration_;
  DeadHostDetector deadHostDetector_;
  const Handler onHosts_;
  const Handler probeHosts_;
  // Hosts of the list that is being read.
  std::vector<PeerHost> pendingList_;
  std::vector<PeerHost> listedHosts_;
  // This run has written the entry; until then, the entry of an earlier run may
  // be listed.
  bool hasWritten_ = false;
  // Number of lists that were read soon after the start.
  std::size_t earlyLists_ = 0;
  // The catalog was restored; hosts that are missing from it may be writing
  // their entries.
  bool isRestoring_ = false;
  // A list that may be stale lacked this host, so only a newer one can tell
  // whether its entry was removed.
  bool needsNewestList_ = false;
  // The response to a list is ignored once a newer one has been sent.
  std::uint64_t latestList_ = 0;
  QTimer listTimer_;
};

} // namespace filbertbeam
