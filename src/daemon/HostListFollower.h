#pragma once

#include "catalog/CatalogFollower.h"
#include "catalog/EntryRegistration.h"
#include "membership/ListedHost.h"

#include <functional>
#include <string>
#include <vector>

namespace filbertbeam {

// Maintains this host's entry in the host list and follows the entries of the
// other hosts.
class HostListFollower
{
public:
  // Receives the list after each change. The list always contains this host's
  // own entry as this process writes it.
  using Handler = std::function<void(const std::vector<ListedHost>&)>;

  // References have to outlive the object.
  HostListFollower(ObjectCatalog& aCatalog,
                   ListedHost aSelf,
                   const Clock& aClock,
                   Random& aRandom,
                   Handler aOnHosts);
  ~HostListFollower();
  HostListFollower(const HostListFollower&) = delete;
  HostListFollower& operator=(const HostListFollower&) = delete;

  void Start();
  // Marks the entry as leaving, for hosts that receive this host's state only
  // through the list.
  void StartLeaving();
  // Removes the entry from the list; aDone is called whether that succeeds or
  // not. Nothing is written afterwards.
  void Unregister(std::function<void()> aDone);
  // Removes the entry of another host, which is dead, from the list.
  void Remove(const std::string& aHost);

  // Returns the list as last read.
  const std::vector<ListedHost>& Hosts() const { return hosts_; }

private:
  void OnObjects(const CatalogFollower::Objects& aObjects);

  // Lists the hosts again soon, at a random time; a missing entry of this host
  // is written then.
  void OnCatalogRestored(const CatalogRestore& aRestore);

  ObjectCatalog& catalog_;
  Random& random_;
  ListedHost self_;
  EntryRegistration registration_;
  Handler onHosts_;
  std::vector<ListedHost> hosts_;
  CatalogFollower follower_;
};

} // namespace filbertbeam
