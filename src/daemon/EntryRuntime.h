#pragma once

#include "base/Clock.h"
#include "base/EventSink.h"
#include "base/SeededRandom.h"
#include "claims/ClaimRegistry.h"
#include "daemon/DaemonSettings.h"
#include "entry/EntryService.h"
#include "http/HttpServer.h"
#include "store/ObjectStore.h"

#include <memory>
#include <string>
#include <vector>

namespace filbertbeam {

// Owns the objects that serve callers. Created, used and destroyed on the entry
// thread.
class EntryRuntime
{
public:
  // References have to outlive the runtime. Returns null and fills aReason
  // when the address cannot be bound.
  static std::unique_ptr<EntryRuntime> Create(
    const DaemonSettings& aSettings,
    std::uint64_t aIncarnation,
    const Clock& aClock,
    EventSink& aEvents,
    EntryMetrics& aMetrics,
    RelayRequestSigner& aRequestSigner,
    std::unique_ptr<ObjectStore> aStore,
    std::string& aReason);

  EntryService& Service() { return *service_; }
  CustomerLimiter& Limiter() { return *limiter_; }
  const ServiceLevelMeter& ServiceLevel() const { return serviceLevel_; }

  void StopAccepting() { server_->StopAccepting(); }
  int RunningExchanges() const { return server_->RunningExchanges(); }
  // Returns the number of claim outcomes that the store has not accepted yet.
  int PendingClaims() const { return claims_->PendingWrites(); }

private:
  EntryRuntime(const DaemonSettings& aSettings,
               std::uint64_t aIncarnation,
               const Clock& aClock,
               EventSink& aEvents,
               EntryMetrics& aMetrics,
               RelayRequestSigner& aRequestSigner,
               std::unique_ptr<ObjectStore> aStore);

  SeededRandom random_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<ObjectStore> store_;
  std::unique_ptr<ClaimRegistry> claims_;
  std::unique_ptr<CustomerLimiter> limiter_;
  std::unique_ptr<RetryBudget> retryBudget_;
  ServiceLevelMeter serviceLevel_;
  ShardSelector selector_;
  ActiveRelays activeRelays_;
  std::unique_ptr<EntryService> service_;
  std::unique_ptr<HttpServer> server_;
};

} // namespace filbertbeam
