#pragma once

#include "base/SeededRandom.h"
#include "base/SystemClock.h"
#include "base/WorkerThread.h"
#include "catalog/ObjectCatalog.h"
#include "configuration/BackgroundWorker.h"
#include "configuration/ConfigurationFollower.h"
#include "daemon/AdminServer.h"
#include "daemon/ConfigurationResource.h"
#include "daemon/ControlPlane.h"
#include "daemon/DaemonSettings.h"
#include "daemon/EntryRuntime.h"
#include "daemon/EventJournal.h"
#include "daemon/OwnerRuntime.h"

#include <QTimer>

#include <functional>
#include <memory>
#include <string>

namespace filbertbeam {

// Runs all services of one host. Lives on the control thread, which is the main
// thread; requests of callers and requests to backend servers are handled on
// separate threads.
class Daemon final
  : public ControlPlaneObserver
  , public AdminModel
{
public:
  // Opens the store for the calling thread. Returns null and fills aReason when
  // the address of the store is invalid.
  using CatalogFactory =
    std::function<std::unique_ptr<ObjectCatalog>(std::string& aReason)>;

  // Returns null and fills aReason when an address cannot be bound.
  static std::unique_ptr<Daemon> Create(const DaemonSettings& aSettings,
                                        const CatalogFactory& aOpenCatalog,
                                        std::string& aReason);
  ~Daemon() override;

  // Stops gracefully: readiness turns false, running requests finish, and then
  // aOnStopped is called. Further calls have no effect.
  void Stop(std::function<void()> aOnStopped);

  void OnView(std::shared_ptr<const MembershipView> aView) override;
  void OnLeavingAddresses(const std::set<std::string>& aAddresses) override;
  void OnRevisionReported(std::uint64_t aRevision,
                          const Member& aSource) override;
  void OnShares(std::vector<ShareGrant> aShares) override;
  void OnDemandReportDue() override;

  bool IsReady() override;
  std::string Metrics() override;
  QJsonObject Status() override;
  QJsonObject Explain(std::string_view aKind, std::string_view aName) override;
  QJsonObject Burn() override;

private:
  explicit Daemon(const DaemonSettings& aSettings);
  bool Start(const CatalogFactory& aOpenCatalog, std::string& aReason);
  void OnConfiguration(const ConfigurationFollower::InForce& aInForce);
  void UpdateWatcher(const MembershipView& aView);
  void CheckStopped();

  const DaemonSettings settings_;
  SystemClock clock_;
  SeededRandom random_;
  const std::uint64_t incarnation_;
  EventJournal journal_;
  EntryMetrics metrics_;

  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<ObjectStore> store_;
  std::unique_ptr<ObjectCatalog> hostCatalog_;
  std::unique_ptr<RelayRequestSigner> requestSigner_;
  std::unique_ptr<ControlChannel> channel_;
  // Runs work that would delay heartbeats too long on the control thread, such
  // as joining 80,000 contracts.
  BackgroundWorker background_;
  std::unique_ptr<ConfigurationFollower> follower_;
  std::unique_ptr<ControlPlane> controlPlane_;
  std::shared_ptr<const Configuration> configuration_;
  QTimer followerTimer_;

  ConfigurationResource configurationResource_;
  WorkerThread entryThread_{ "entry" };
  WorkerThread ownerThread_{ "owner" };
  // Each runtime is used on its own thread only.
  std::unique_ptr<EntryRuntime> entry_;
  std::unique_ptr<OwnerRuntime> owner_;

  std::unique_ptr<AdminServer> admin_;
  std::function<void()> onStopped_;
  Instant stoppingSince_;
  QTimer stopTimer_;
};

} // namespace filbertbeam
