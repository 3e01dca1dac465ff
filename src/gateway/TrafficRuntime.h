#pragma once

#include "base/SeededRandom.h"
#include "gateway/GatewayService.h"
#include "gateway/GatewaySettings.h"

namespace filbertbeam {

// The objects of the traffic thread. Created, used and destroyed on that
// thread.
class TrafficRuntime
{
public:
  // Returns null and sets aReason when an address cannot be bound.
  static std::unique_ptr<TrafficRuntime> Create(
    const GatewaySettings& aSettings,
    const ExchangeHeaderCodec& aHeaderCodec,
    GatewayMetrics& aMetrics,
    const Clock& aClock,
    std::string& aReason);

  void SetRouting(const std::shared_ptr<const RoutingTable>& aRouting);
  void SetDirectory(std::shared_ptr<const BackendDirectory> aDirectory);
  // Applies the extra attempt limits of aSettings.
  void SetExtraAttemptLimits(const GatewaySettings& aSettings);
  void SetKnownVersions(const KnownVersions& aKnown);
  // aHandler is called on the traffic thread.
  void SetNewerVersionsHandler(SelectionService::VersionsHandler aHandler);
  void SetHosts(std::vector<PeerHost> aHosts);
  void ConfirmKeys(Instant aTime) { service_->ConfirmKeys(aTime); }
  void SendHeartbeat(const WatcherHeartbeat& aHeartbeat)
  {
    selection_->SendHeartbeat(aHeartbeat);
  }
  // aHandler is called on the traffic thread.
  void SetHeartbeatHandler(SelectionService::HeartbeatHandler aHandler);
  void ProbeHosts(std::span<const PeerHost> aHosts)
  {
    selection_->ProbeHosts(aHosts);
  }
  // aHandler is called on the traffic thread.
  void SetAnnouncementHandler(SelectionService::AnnouncementHandler aHandler);

  // Connections are closed after their responses from now on, and requests
  // that may not be complete at aStopsAt are refused.
  void BeginStop(Instant aStopsAt);
  void StopAccepting() { server_->StopAccepting(); }
  int RunningExchanges() const { return server_->RunningExchanges(); }
  std::uint16_t FrontPort() const { return server_->Port(); }
  // Receives the datagrams of other hosts.
  Endpoint PeerAddress() const { return selection_->LocalEndpoint(); }

private:
  TrafficRuntime() = default;

  std::chrono::milliseconds bodyGrace_{};
  SeededRandom random_;
  std::unique_ptr<MemoryBudget> memory_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<SelectionService> selection_;
  std::unique_ptr<GatewayService> service_;
  std::unique_ptr<HttpServer> server_;
};

} // namespace filbertbeam
