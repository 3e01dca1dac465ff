#pragma once

#include "base/SystemClock.h"
#include "base/WorkerThread.h"
#include "catalog/CatalogFollower.h"
#include "catalog/CountingCatalog.h"
#include "gateway/ConfigurationInForce.h"
#include "gateway/DirectoryBuilder.h"
#include "gateway/HostRegistry.h"
#include "gateway/PeerData.h"
#include "gateway/PeerSnapshotClient.h"
#include "gateway/ReportedVersions.h"
#include "gateway/RestoredKnowledge.h"
#include "gateway/SimpleHttpServer.h"
#include "gateway/TrafficRuntime.h"
#include "gateway/WatchSharing.h"

#include <atomic>

namespace filbertbeam {

// One host of the gateway. Follows the catalog on the thread that creates it
// and serves callers on a separate thread.
class Gateway
{
public:
  // aCatalog, aCodec and aHeaderCodec have to outlive the gateway. Returns null
  // and sets aReason when an address cannot be bound.
  static std::unique_ptr<Gateway> Create(
    const GatewaySettings& aSettings,
    ObjectCatalog& aCatalog,
    const CatalogCodec& aCodec,
    const ExchangeHeaderCodec& aHeaderCodec,
    std::string& aReason);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // True once the configuration and the backend servers have been read and
  // peers have told what they know against the catalog's word, until Stop is
  // called.
  bool IsReady() const;

  // Applies changes of stopTime, the extra attempt limits and the address of
  // the catalog at once. Other changes need a restart.
  void ApplySettings(const GatewaySettings& aSettings);

  // Stops accepting callers, completes the running requests and then calls
  // aStopped.
  void Stop(std::function<void()> aStopped);

  // Version of the configuration in use; 0 before the first one.
  std::uint64_t ConfigurationVersion() const
  {
    return configuration_.Version();
  }
  // Number of servers that are draining here although the catalog, which was
  // restored from an older copy, shows them as ready.
  std::size_t KeptDepartures() const
  {
    return directoryBuilder_.KeptDepartures();
  }
  // True while this host watches the catalog for the other hosts of its failure
  // domain.
  bool IsWatcher() const { return watchSharing_->IsWatcher(); }

  std::uint16_t FrontPort() const { return frontPort_; }
  // Receives the datagrams of other hosts.
  const Endpoint& PeerAddress() const { return peerAddress_; }
  std::uint16_t MetricsPort() const { return metricsServer_->Port(); }
  std::uint16_t SnapshotPort() const { return snapshotServer_->Port(); }

private:
  Gateway(const GatewaySettings& aSettings,
          ObjectCatalog& aCatalog,
          const CatalogCodec& aCodec,
          const ExchangeHeaderCodec& aHeaderCodec);

  bool Start(std::string& aReason);
  // Both return false and set aReason when an address cannot be bound.
  bool CreateTraffic(std::string& aReason);
  bool CreateServers(std::string& aReason);
  void CreateFollowers();
  // Creates hostRegistry_ and watchSharing_.
  void CreateRegistry();
  // Forwards messages of peers from the traffic thread to the thread that
  // created this object.
  void ConnectTraffic();
  SimpleHttpResponse HandlePeerRequest(std::string_view aTarget);
  // Returns what this host has read, in the form that aTarget asks for.
  std::string EncodePeerResponse(std::string_view aTarget) const;
  // How long changes of backend servers are collected before they are read
  // together.
  std::chrono::milliseconds CoalescingDelay() const;
  void OnConfiguration(const CatalogFollower::Objects& aObjects);
  void OnBackendServers(const CatalogFollower::Objects& aObjects);
  void PublishKnownVersions();
  void OnCatalogRestored(const CatalogRestore& aRestore);
  // What this host knows and the catalog does not show.
  RestoredKnowledge KnowledgeForPeers() const;
  void OnPeerKnowledge(const std::optional<RestoredKnowledge>& aKnowledge);
  // Puts the configuration of aObject in force if it is valid and newer than
  // the one in force.
  void ApplyConfiguration(const CatalogObject& aObject);
  // Rebuilds the directory at the end of the time in which departures count.
  void ScheduleEndOfDepartures();
  void OnNewerVersions(const KnownVersions& aKnown, const Endpoint& aSender);
  void OnHeartbeat(const WatcherHeartbeat& aHeartbeat, const Endpoint& aSender);
  void CatchUp();
  // Returns the versions that this host should have read by now, since peers
  // reported them some time ago.
  KnownVersions OverdueVersions() const;
  // True while this host lacks catalog data that peers may have read.
  bool NeedsPeerSnapshot() const;
  void Import(PeerSnapshot aSnapshot);
  void CheckStopped();
  void ReportReadiness();
  void LogCatalogCalls();
  // Tells the traffic thread when the keys were last known to be current.
  void ConfirmKeys();
  std::string FormatMetrics() const;

  GatewaySettings settings_;
  CountingCatalog catalog_;
  const CatalogCodec& codec_;
  const ExchangeHeaderCodec& headerCodec_;
  SystemClock clock_;
  SeededRandom random_;
  GatewayMetrics metrics_;
  ConfigurationInForce configuration_;
  DirectoryBuilder directoryBuilder_;
  std::unique_ptr<CatalogFollower> configurationFollower_;
  std::unique_ptr<CatalogFollower> serverFollower_;
  std::unique_ptr<WatchSharing> watchSharing_;
  std::unique_ptr<HostRegistry> hostRegistry_;
  std::unique_ptr<SimpleHttpServer> readinessServer_;
  std::unique_ptr<SimpleHttpServer> metricsServer_;
  std::unique_ptr<SimpleHttpServer> snapshotServer_;
  PeerResponseCache peerResponses_;
  std::unique_ptr<PeerSnapshotClient> snapshotClient_;
  std::unique_ptr<RestoredKnowledgeClient> knowledgeClient_;
  std::uint64_t catalogRestores_ = 0;
  bool wasReady_ = false;
  // The settings file has changes that hold at the next start.
  bool needsRestart_ = false;
  ReportedVersions peerVersions_;
  QTimer catchUpTimer_;
  QTimer catalogLogTimer_;
  KeyKnowledge keys_;
  bool areKeysCurrent_ = false;
  QTimer keysTimer_;
  // Ends the time in which departures of servers are kept after a restore.
  QTimer departuresTimer_;
  std::uint64_t loggedCatalogCalls_ = 0;

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
