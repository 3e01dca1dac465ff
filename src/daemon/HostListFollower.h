#pragma once

#include "base/Random.h"
#include "store/HostList.h"

#include <QTimer>

#include <functional>
#include <string>
#include <vector>

namespace filbertbeam {

// Keeps this host's entry in the list of hosts and reads the others' there.
class HostListFollower
{
public:
  // Takes the list as last read, in which this host's own entry is as written.
  using Handler = std::function<void(const std::vector<ListedHost>&)>;

  // References have to outlive the object.
  HostListFollower(HostList& aHostList,
                   ListedHost aSelf,
                   Random& aRandom,
                   Handler aOnHosts);

  void Start();
  // Takes the entry of another host, one that is dead, out of the list.
  void Remove(const std::string& aHost);
  // Marks the entry, for hosts that hear of this one only through the list.
  void StartLeaving();
  // Takes the entry out of the list; aDone is called whether that succeeds or
  // not. Nothing is written afterwards.
  void Unregister(std::function<void()> aDone);

private:
  void Register();
  void Fetch();
  void OnHosts(std::vector<ListedHost> aHosts);

  HostList& hostList_;
  ListedHost self_;
  Random& random_;
  Handler onHosts_;
  // Null before the first answer.
  std::optional<bool> isAway_;
  bool isUnregistered_ = false;
  QTimer registerTimer_;
  QTimer fetchTimer_;
};

} // namespace filbertbeam
