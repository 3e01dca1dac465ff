#pragma once

#include "store/HostList.h"
#include "store/PlatformClient.h"

namespace filbertbeam {

// The platform's host list over HTTP (docs/platform-protocol.md).
class HttpHostList final : public HostList
{
public:
  // Null, with a reason, when the endpoints are at fault.
  static std::unique_ptr<HttpHostList> Create(
    std::vector<Endpoint> aEndpoints,
    const PlatformClientLimits& aLimits,
    std::string& aReason);

  explicit HttpHostList(std::unique_ptr<PlatformClient> aClient);

  void Fetch(Callback aCallback) override;

private:
  std::unique_ptr<PlatformClient> client_;
};

} // namespace filbertbeam
