#pragma once

#include "base/Clock.h"
#include "base/EventSink.h"
#include "base/Random.h"
#include "configuration/Configuration.h"
#include "daemon/DeadHostSweep.h"
#include "daemon/HostListFollower.h"
#include "limits/ShareCoordinator.h"
#include "membership/ControlChannel.h"
#include "membership/HeartbeatProtocol.h"
#include "membership/MembershipView.h"

#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace filbertbeam {

// Receives the results of the control plane.
class ControlPlaneObserver
{
public:
  virtual ~ControlPlaneObserver() = default;

  virtual void OnView(std::shared_ptr<const MembershipView> aView) = 0;
  // Called with the addresses of leaving entries in the host list that have no
  // control port, since they are not hosts of the fleet.
  virtual void OnLeavingAddresses(const std::set<std::string>& aAddresses) = 0;
  virtual void OnRevisionReported(std::uint64_t aRevision,
                                  const Member& aSource) = 0;
  virtual void OnShares(std::vector<ShareGrant> aShares) = 0;
  // Requests the demands since the last call. The observer passes them to
  // SendDemands, which it may do later.
  virtual void OnDemandReportDue() = 0;
};

// Maintains the membership view and divides the promises of contracts into
// shares. Lives on the control thread.
class ControlPlane
{
public:
  // All references have to outlive the object.
  ControlPlane(const Member& aSelf,
               ObjectCatalog& aCatalog,
               ControlChannel& aChannel,
               const Clock& aClock,
               Random& aRandom,
               EventSink& aEvents,
               ControlPlaneObserver& aObserver);

  void Start();
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  void StartLeaving();
  // Removes this host from the host list, then calls aDone.
  void Unregister(std::function<void()> aDone);

  // Reports the demands of this entry host to the home hosts of the customers.
  void SendDemands(std::span<const CustomerDemand> aDemands);

  // Returns the view that was last passed to the observer; null before Start.
  const std::shared_ptr<const MembershipView>& View() const
  {
    return publishedView_;
  }
  // Returns false for a short time after Start, while this host is isolated or
  // the incarnations of other live hosts are unknown: they would refuse this
  // host's requests.
  bool IsViewUsable();
  std::size_t MemoryBytes() const { return heartbeats_.MemoryBytes(); }

private:
  void OnTick();
  void PublishView();
  void OnHosts(const std::vector<ListedHost>& aHosts);
  void RemoveDeadHosts();
  void OnDemandReport(const ControlSender& aSender, ByteView aPayload);
  // Logs each host that joined or changed its state. Returns true when there is
  // one.
  bool LogStateChanges(const MembershipView& aView);

  const std::string self_;
  ControlChannel& channel_;
  const Clock& clock_;
  EventSink& events_;
  ControlPlaneObserver& observer_;
  HeartbeatProtocol heartbeats_;
  HostListFollower hostList_;
  DeadHostSweep deadHosts_;
  std::unique_ptr<ShareCoordinator> coordinator_;
  std::shared_ptr<const MembershipView> publishedView_;
  std::map<std::string, HostState, std::less<>> loggedStates_;
  bool hasReadHostList_ = false;
  Instant startedAt_;
  QTimer heartbeatTimer_;
  QTimer demandTimer_;
  QTimer sweepTimer_;
};

} // namespace filbertbeam
