#pragma once

#include "store/ObjectStore.h"

namespace filbertbeam {

// One entry of the platform's host list. The list lags behind reality.
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
};

class HostList
{
public:
  using Callback =
    std::function<void(const StoreResult<std::vector<ListedHost>>&)>;

  virtual ~HostList() = default;

  virtual void Fetch(Callback aCallback) = 0;
};

} // namespace filbertbeam
