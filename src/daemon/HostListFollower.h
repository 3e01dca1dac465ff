#pragma once

#include "catalog/CatalogFollower.h"
#include "catalog/EntryRegistration.h"
#include "membership/ListedHost.h"

#include <functional>
#include <string>
#include <vector>

namespace filbertbeam {

// Keeps this host's entry in the list of hosts and follows the others' there.
class HostListFollower
{
public:
  // Takes the list after each change. This host's own entry in it is as
  // written.
  using Handler = std::function<void(const std::vector<ListedHost>&)>;

  // References have to outlive the object.
  HostListFollower(ObjectCatalog& aCatalog,
                   ListedHost aSelf,
                   const Clock& aClock,
                   Random& aRandom,
                   Handler aOnHosts);

  void Start();
  // Marks the entry, for hosts that hear of this one only through the list.
  void StartLeaving();
  // Takes the entry out of the list; aDone is called whether that succeeds or
  // not. Nothing is written afterwards.
  void Unregister(std::function<void()> aDone);
  // Takes the entry of another host, one that is dead, out of the list.
  void Remove(const std::string& aHost);

  // The list as last read.
  const std::vector<ListedHost>& Hosts() const { return hosts_; }

private:
  void OnObjects(const CatalogFollower::Objects& aObjects);

  ObjectCatalog& catalog_;
  ListedHost self_;
  EntryRegistration registration_;
  Handler onHosts_;
  std::vector<ListedHost> hosts_;
  CatalogFollower follower_;
};

} // namespace filbertbeam
