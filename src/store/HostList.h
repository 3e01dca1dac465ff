#pragma once

#include "store/ObjectStore.h"

namespace filbertbeam {

// One entry of the list of hosts. The list lags behind reality: entries of
// hosts that ended without notice stay in it.
struct ListedHost
{
  std::string host;
  std::string region;
  std::string domain;
  // IP address in text form.
  std::string address;
  // Ports of the fleet's own hosts; 0 for other machines.
  std::uint16_t relayPort = 0;
  std::uint16_t controlPort = 0;
  bool isLeaving = false;

  bool operator==(const ListedHost&) const = default;
};

// The hosts of the fleet, each written by itself. Calls never block; callbacks
// come from the event loop, unless the list is destroyed before.
class HostList
{
public:
  using Callback =
    std::function<void(const StoreResult<std::vector<ListedHost>>&)>;
  // Takes the reason of a failure; nothing after a success.
  using WriteCallback = std::function<void(const std::optional<std::string>&)>;

  virtual ~HostList() = default;

  virtual void Fetch(Callback aCallback) = 0;
  // Creates or replaces the entry of aHost.
  virtual void Write(const ListedHost& aHost, WriteCallback aCallback) = 0;
  virtual void Remove(std::string_view aHost, WriteCallback aCallback) = 0;
};

} // namespace filbertbeam
