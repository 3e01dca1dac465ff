#pragma once

#include "balancing/SelectionService.h"
#include "catalog/EntryRegistration.h"

#include <QTimer>

namespace filbertbeam {

// Writes this host into the catalog and finds the others there. Hosts that
// ended without notice stay in the list; asking them is cheap and stops after a
// few missed answers.
class HostRegistry
{
public:
  using Handler = std::function<void(std::vector<PeerHost>)>;

  HostRegistry(ObjectCatalog& aCatalog,
               PeerHost aSelf,
               Random& aRandom,
               Handler aOnHosts);

  void Start();

  // Takes this host out of the catalog. A failure leaves an entry that costs
  // the others a few unanswered messages.
  void Unregister();

  // Takes the hosts that a peer knows, until the first list.
  void Adopt(std::vector<PeerHost> aHosts);
  const std::vector<PeerHost>& Known() const { return known_; }

private:
  void List(const std::string& aAfter);
  void OnPage(const CatalogPage& aPage);

  ObjectCatalog& catalog_;
  const PeerHost self_;
  Random& random_;
  EntryRegistration registration_;
  Handler onHosts_;
  // Of the list that is being read, and of the last one.
  std::vector<PeerHost> hosts_;
  std::vector<PeerHost> known_;
  QTimer listTimer_;
};

} // namespace filbertbeam
