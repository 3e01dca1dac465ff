#pragma once

#include "base/Clock.h"
#include "base/EventSink.h"
#include "base/SeededRandom.h"
#include "daemon/DaemonSettings.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "owner/OwnerService.h"

#include <memory>
#include <string>

namespace filbertbeam {

// Owns the objects that manage this host's shards and send requests to backend
// servers. Created, used and destroyed on the owner thread.
class OwnerRuntime
{
public:
  // References have to outlive the runtime. Returns null and fills aReason
  // when the address cannot be bound.
  static std::unique_ptr<OwnerRuntime> Create(
    const DaemonSettings& aSettings,
    std::uint64_t aIncarnation,
    const Clock& aClock,
    EventSink& aEvents,
    InternalRequestHandler& aInternalHandler,
    std::string& aReason);

  OwnerService& Service() { return *service_; }

  int RunningExchanges() const { return server_->RunningExchanges(); }

private:
  OwnerRuntime(const DaemonSettings& aSettings,
               std::uint64_t aIncarnation,
               const Clock& aClock,
               EventSink& aEvents,
               InternalRequestHandler& aInternalHandler);

  SeededRandom random_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<RelayAuthenticator> authenticator_;
  std::unique_ptr<OwnerService> service_;
  std::unique_ptr<HttpServer> server_;
};

} // namespace filbertbeam
