#include "gateway/TrafficRuntime.h"

#include "base/Log.h"
#include "gateway/BackendAttempt.h"
#include "http/EndpointText.h"

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// All hosts share the connections that a server accepts, so each host keeps few
// idle ones.
constexpr int kIdleConnectionsPerServer = 3;
// Servers close idle connections after a time that some of them do not state. A
// request on a connection that closes at the same time may be lost.
constexpr seconds kIdleTimeout{ 7 };
// Keep-alive probes detect idle connections to unresponsive servers within this
// time.
constexpr seconds kUnresponsiveTimeout{ 4 };

// The buffers of requests and responses may take the process's memory divided
// by this. The rest is for the program itself, its copies of the catalog, and
// memory that the allocator cannot reuse.
constexpr std::size_t kBufferDivisor = 3;

// Part of the deployment's limits that is used, since requests and extra
// attempts reach their servers a little later than they are counted.
constexpr double kBudgetShare = 0.95;

ExtraAttemptLimits
MakeExtraAttemptLimits(const GatewaySettings& aSettings)
{
  return { aSettings.extraAttemptRatio * kBudgetShare,
           aSettings.extraAttemptBurst * kBudgetShare,
           aSettings.extraAttemptWindow };
}

SelectionServiceSettings
SelectionSettings(const GatewaySettings& aSettings)
{
  SelectionServiceSettings settings;
  settings.host = aSettings.host;
  settings.domain = aSettings.domain;
  settings.processorCores = aSettings.processorCores;
  settings.listen = aSettings.peer;
  settings.budget = MakeExtraAttemptLimits(aSettings);
  settings.quota = aSettings.quota;
  return settings;
}

HttpServerLimits
ServerLimits(const CallerLimits& aLimits, std::chrono::milliseconds aBodyGrace)
{
  HttpServerLimits limits;
  limits.bodyGrace = aBodyGrace;
  limits.headBytes = aLimits.headBytes;
  limits.bodyBytes = aLimits.bodyBytes;
  limits.headTimeout =
    std::chrono::duration_cast<milliseconds>(aLimits.headTimeout);
  limits.idleTimeout =
    std::chrono::duration_cast<milliseconds>(aLimits.idleTimeout);
  return limits;
}

void
OnStrayBytes(GatewayMetrics& aMetrics, const StrayBytes& aBytes)
{
  aMetrics.Count(GatewayCounter::StrayBytes);
  LogEvent(LogLevel::Info,
           "stray_bytes",
           { { "address", FormatEndpoint(aBytes.server) },
             { "connection", aBytes.use.connectionNumber },
             { "exchange", aBytes.use.exchangeNumber },
             { "place", ToString(aBytes.place) } });
}

} // namespace

std::unique_ptr<TrafficRuntime>
TrafficRuntime::Create(const GatewaySettings& aSettings,
                       const ExchangeHeaderCodec& aHeaderCodec,
                       GatewayMetrics& aMetrics,
                       const Clock& aClock,
                       std::string& aReason)
{
  std::unique_ptr<TrafficRuntime> runtime(new TrafficRuntime);
  HttpClientLimits limits;
  limits.headBytes = kMaxResponseHead;
  limits.idleConnections = kIdleConnectionsPerServer;
  limits.idleTimeout = kIdleTimeout;
  limits.unresponsivePeerTimeout = kUnresponsiveTimeout;
  runtime->client_ =
    HttpClient::Create(limits, [&aMetrics](const StrayBytes& aBytes) {
      OnStrayBytes(aMetrics, aBytes);
    });
  runtime->selection_ = SelectionService::Create(
    SelectionSettings(aSettings), aClock, runtime->random_, aReason);
  if (!runtime->selection_) {
    return nullptr;
  }
  runtime->memory_ =
    std::make_unique<MemoryBudget>(aSettings.memoryBytes / kBufferDivisor);
  runtime->service_ = std::make_unique<GatewayService>(
    GatewayContext{ *runtime->client_,
                    *runtime->selection_,
                    *runtime->memory_,
                    aHeaderCodec,
                    aMetrics,
                    aClock,
                    runtime->random_,
                    WeightedSplit(runtime->random_),
                    {},
                    {},
                    nullptr,
                    std::make_shared<BackendDirectory>(
                      0, std::vector<BackendServerRecord>()) });
  runtime->service_->SetKeyTrustTime(aSettings.keyTrustTime);
  runtime->server_ = HttpServer::Create(aSettings.front,
                                        ServerLimits({}, aSettings.bodyGrace),
                                        *runtime->service_,
                                        aReason);
  runtime->bodyGrace_ = aSettings.bodyGrace;
  return runtime->server_ ? std::move(runtime) : nullptr;
}

void
TrafficRuntime::SetRouting(const std::shared_ptr<const RoutingTable>& aRouting)
{
  service_->SetRouting(aRouting);
  server_->SetLimits(ServerLimits(aRouting->Limits(), bodyGrace_));
}

void
TrafficRuntime::SetDirectory(std::shared_ptr<const BackendDirectory> aDirectory)
{
  service_->SetDirectory(std::move(aDirectory));
}

void
TrafficRuntime::SetExtraAttemptLimits(const GatewaySettings& aSettings)
{
  selection_->SetBudget(MakeExtraAttemptLimits(aSettings));
  selection_->Quota().SetBound(aSettings.quota);
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
TrafficRuntime::SetHeartbeatHandler(SelectionService::HeartbeatHandler aHandler)
{
  selection_->SetHeartbeatHandler(std::move(aHandler));
}

void
TrafficRuntime::SetAnnouncementHandler(
  SelectionService::AnnouncementHandler aHandler)
{
  selection_->SetAnnouncementHandler(std::move(aHandler));
}

void
TrafficRuntime::BeginStop(Instant aStopsAt)
{
  service_->BeginStop(aStopsAt);
  server_->CloseAfterResponses();
}

void
TrafficRuntime::SetHosts(std::vector<PeerHost> aHosts)
{
  selection_->SetHosts(std::move(aHosts));
}

} // namespace filbertbeam
