#pragma once

#include "catalog/EntryRegistration.h"
#include "gateway/SilentPeers.h"

#include <QTimer>

namespace filbertbeam {

// Writes this host into the catalog, finds the others there and removes those
// that ended without notice.
class HostRegistry
{
public:
  using Handler = std::function<void(std::vector<PeerHost>)>;

  // aOnHosts gets each list that was read; aGreet is to ask hosts for a sign of
  // life, of which OnHeard then tells.
  HostRegistry(ObjectCatalog& aCatalog,
               PeerHost aSelf,
               const Clock& aClock,
               Random& aRandom,
               Handler aOnHosts,
               Handler aGreet);

  void Start();

  // Takes this host out of the catalog. A failure leaves an entry that costs
  // the others a few unanswered messages.
  void Unregister();

  // Takes the hosts that a peer knows, until the first list.
  void Import(std::vector<PeerHost> aHosts);
  const std::vector<PeerHost>& Known() const { return known_; }

  void OnHeard(const std::string& aHost) { silentPeers_.OnHeard(aHost); }

private:
  void List(const std::string& aAfter);
  void OnPage(const CatalogPage& aPage);
  void RemoveDeadHosts();

  ObjectCatalog& catalog_;
  const PeerHost self_;
  const Clock& clock_;
  Random& random_;
  EntryRegistration registration_;
  SilentPeers silentPeers_;
  const Handler onHosts_;
  const Handler greet_;
  // Of the list that is being read, and of the last one.
  std::vector<PeerHost> hosts_;
  std::vector<PeerHost> known_;
  QTimer listTimer_;
};

} // namespace filbertbeam
