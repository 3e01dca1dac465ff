#pragma once

#include "base/Clock.h"
#include "base/EventSink.h"
#include "base/Random.h"
#include "claims/ClaimRegistry.h"
#include "configuration/Configuration.h"
#include "entry/ActiveRelays.h"
#include "entry/EntryMetrics.h"
#include "entry/RelayRequestSigner.h"
#include "entry/ServiceLevelMeter.h"
#include "entry/ShardSelector.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "limits/CustomerLimiter.h"
#include "limits/RetryBudget.h"
#include "membership/MembershipView.h"

#include <memory>

namespace filbertbeam {

// The state of the fleet that running sessions share and that changes while
// they run. A session keeps the configuration that it started with, but always
// uses the current membership view, since a retry may have to wait for a new
// owner.
struct CurrentFleet
{
  std::shared_ptr<const MembershipView> view;
};

// The objects that all sessions share. All references have to outlive the
// entry service.
struct EntryContext
{
  HttpClient& client;
  ClaimRegistry& claims;
  CustomerLimiter& limiter;
  RetryBudget& retryBudget;
  RelayRequestSigner& signer;
  ServiceLevelMeter& serviceLevel;
  ShardSelector& selector;
  ActiveRelays& activeRelays;
  EntryMetrics& metrics;
  EventSink& events;
  const Clock& clock;
  Random& random;
  std::shared_ptr<const Configuration> configuration = nullptr;
  std::shared_ptr<CurrentFleet> fleet = std::make_shared<CurrentFleet>();
};

// Handles the requests of callers. All its work runs on the thread that
// creates it.
class EntryService final : public HttpApplication
{
public:
  explicit EntryService(EntryContext aContext);

  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  void SetView(std::shared_ptr<const MembershipView> aView);

  std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) override;

private:
  EntryContext context_;
};

} // namespace filbertbeam
