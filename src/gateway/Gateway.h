#pragma once

#include "base/SystemClock.h"
#include "base/WorkerThread.h"
#include "catalog/CatalogFollower.h"
#include "gateway/DirectoryBuilder.h"
#include "gateway/HostRegistry.h"
#include "gateway/PeerSnapshotClient.h"
#include "gateway/ProbeServer.h"
#include "gateway/TrafficRuntime.h"
#include "gateway/WatchSharing.h"

#include <atomic>

namespace filbertbeam {

// One host: follows the catalog on the thread that creates it and serves
// callers on a thread of its own.
class Gateway
{
public:
  // aCatalog, aCodec and aDialect have to outlive the gateway. Null, with a
  // reason, when an address cannot be bound.
  static std::unique_ptr<Gateway> Create(const GatewaySettings& aSettings,
                                         ObjectCatalog& aCatalog,
                                         const CatalogCodec& aCodec,
                                         const ExchangeDialect& aDialect,
                                         std::string& aReason);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Knows its configuration and the backend servers, and is not stopping.
  bool IsReady() const;

  // Times and limits take force at once; other changes at the next start.
  void ApplySettings(const GatewaySettings& aSettings);

  // Takes no new callers, finishes what runs and then calls aStopped.
  void Stop(std::function<void()> aStopped);

  // Of the routes in force; 0 when there are none.
  std::uint64_t ConfigurationVersion() const
  {
    return routing_ ? routing_->Version() : 0;
  }
  // Watches the catalog for other hosts of its failure domain.
  bool IsWatcher() const { return watchSharing_->IsWatcher(); }

  std::uint16_t FrontPort() const { return frontPort_; }
  // For the datagrams of other hosts.
  const Endpoint& PeerAddress() const { return peerAddress_; }
  std::uint16_t SnapshotPort() const { return snapshotServer_->Port(); }

private:
  Gateway(const GatewaySettings& aSettings,
          ObjectCatalog& aCatalog,
          const CatalogCodec& aCodec,
          const ExchangeDialect& aDialect);

  bool Start(std::string& aReason);
  // Both return false, with a reason, when an address cannot be bound.
  bool CreateTraffic(std::string& aReason);
  bool CreateServers(std::string& aReason);
  void CreateFollowers();
  // Who the other hosts are, and which of them watch the catalog.
  void CreateRegistry();
  // Makes the threads hear of what peers send to the other one.
  void ConnectTraffic();
  ProbeAnswer AnswerPeer(std::string_view aTarget) const;
  // For which changes of backend servers are gathered.
  std::chrono::milliseconds GatherTime() const;
  void OnConfiguration(const CatalogFollower::Objects& aObjects);
  void OnBackendServers(const CatalogFollower::Objects& aObjects);
  void PublishKnownVersions();
  void OnNewerVersions(const KnownVersions& aKnown, const Endpoint& aSender);
  void OnBeat(const WatcherBeat& aBeat, const Endpoint& aSender);
  void CatchUp();
  // True while peers can tell what the catalog has not told yet.
  bool NeedsPeers() const;
  void Import(PeerSnapshot aSnapshot);
  void CheckStopped();
  void ReportReadiness();
  std::string FormatMetrics() const;

  GatewaySettings settings_;
  ObjectCatalog& catalog_;
  const CatalogCodec& codec_;
  const ExchangeDialect& dialect_;
  SystemClock clock_;
  SeededRandom random_;
  GatewayMetrics metrics_;
  DirectoryBuilder directoryBuilder_;
  std::unique_ptr<CatalogFollower> configurationFollower_;
  std::unique_ptr<CatalogFollower> serverFollower_;
  std::unique_ptr<WatchSharing> watchSharing_;
  std::unique_ptr<HostRegistry> registry_;
  std::unique_ptr<ProbeServer> readiness_;
  std::unique_ptr<ProbeServer> metricsServer_;
  std::unique_ptr<ProbeServer> snapshotServer_;
  std::unique_ptr<PeerSnapshotClient> peers_;
  std::shared_ptr<const RoutingTable> routing_;
  std::uint64_t rejectedRevision_ = 0;
  bool wasReady_ = false;
  // What peers know beyond this host.
  KnownVersions heard_;
  QTimer catchUpTimer_;

  WorkerThread trafficThread_{ "traffic" };
  std::unique_ptr<TrafficRuntime> traffic_;
  std::uint16_t frontPort_ = 0;
  Endpoint peerAddress_;

  std::function<void()> stopped_;
  Instant stoppingSince_;
  bool isAccepting_ = true;
  QTimer stopTimer_;
};

} // namespace filbertbeam
