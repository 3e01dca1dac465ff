#include "gateway/TrafficRuntime.h"

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Idle connections to one backend server; all hosts together share what it
// accepts.
constexpr int kIdlePerServer = 3;
// Servers close idle connections after a time that some do not state; a request
// on a connection that closes meanwhile may be lost.
constexpr seconds kIdleTime{ 7 };
// An idle connection that went silent is found by keep-alive probes.
constexpr seconds kSilenceTimeout{ 4 };

// Kept from what the deployment allows, since requests and repeats reach their
// servers a little later than they are counted.
constexpr double kBudgetShare = 0.95;

RepeatBudgetLimits
RepeatBudgetOf(const GatewaySettings& aSettings)
{
  return { aSettings.repeatRatio * kBudgetShare,
           aSettings.repeatBurst * kBudgetShare,
           aSettings.repeatWindow };
}

SelectionServiceSettings
SelectionSettings(const GatewaySettings& aSettings)
{
  SelectionServiceSettings settings;
  settings.host = aSettings.host;
  settings.domain = aSettings.domain;
  settings.processorCores = aSettings.processorCores;
  settings.listen = aSettings.peer;
  settings.budget = RepeatBudgetOf(aSettings);
  return settings;
}

HttpServerLimits
ServerLimits(const CallerLimits& aLimits)
{
  HttpServerLimits limits;
  limits.headBytes = aLimits.headBytes;
  limits.bodyBytes = aLimits.bodyBytes;
  limits.headTimeout =
    std::chrono::duration_cast<milliseconds>(aLimits.headTimeout);
  limits.idleTimeout =
    std::chrono::duration_cast<milliseconds>(aLimits.idleTimeout);
  return limits;
}

} // namespace

std::unique_ptr<TrafficRuntime>
TrafficRuntime::Create(const GatewaySettings& aSettings,
                       const ExchangeDialect& aDialect,
                       GatewayMetrics& aMetrics,
                       const Clock& aClock,
                       std::string& aReason)
{
  std::unique_ptr<TrafficRuntime> runtime(new TrafficRuntime);
  HttpClientLimits limits;
  limits.idleConnections = kIdlePerServer;
  limits.idleTimeout = kIdleTime;
  limits.unresponsivePeerTimeout = kSilenceTimeout;
  runtime->client_ = HttpClient::Create(limits);
  runtime->selection_ = SelectionService::Create(
    SelectionSettings(aSettings), aClock, runtime->random_, aReason);
  if (!runtime->selection_) {
    return nullptr;
  }
  runtime->service_ = std::make_unique<GatewayService>(
    GatewayContext{ *runtime->client_,
                    *runtime->selection_,
                    aDialect,
                    aMetrics,
                    aClock,
                    WeightedSplit(runtime->random_),
                    {},
                    nullptr,
                    std::make_shared<BackendDirectory>(
                      0, std::vector<BackendServerRecord>()) });
  runtime->server_ = HttpServer::Create(
    aSettings.front, ServerLimits({}), *runtime->service_, aReason);
  return runtime->server_ ? std::move(runtime) : nullptr;
}

void
TrafficRuntime::SetRouting(const std::shared_ptr<const RoutingTable>& aRouting)
{
  service_->SetRouting(aRouting);
  server_->SetLimits(ServerLimits(aRouting->Limits()));
}

void
TrafficRuntime::SetDirectory(std::shared_ptr<const BackendDirectory> aDirectory)
{
  service_->SetDirectory(std::move(aDirectory));
}

void
TrafficRuntime::SetRepeatLimits(const GatewaySettings& aSettings)
{
  selection_->SetBudget(RepeatBudgetOf(aSettings));
}

void
TrafficRuntime::SetKnownVersions(const KnownVersions& aKnown)
{
  selection_->SetKnownVersions(aKnown);
}

void
TrafficRuntime::SetNewerVersionsHandler(
  SelectionService::VersionsHandler aHandler)
{
  selection_->SetNewerVersionsHandler(std::move(aHandler));
}

void
TrafficRuntime::SetBeatHandler(SelectionService::BeatHandler aHandler)
{
  selection_->SetBeatHandler(std::move(aHandler));
}

void
TrafficRuntime::SetGreetingHandler(SelectionService::GreetingHandler aHandler)
{
  selection_->SetGreetingHandler(std::move(aHandler));
}

void
TrafficRuntime::SetHosts(std::vector<PeerHost> aHosts)
{
  selection_->SetHosts(std::move(aHosts));
}

} // namespace filbertbeam
