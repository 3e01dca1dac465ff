#pragma once

#include "balancing/BackendSelector.h"
#include "balancing/OwnerRanking.h"
#include "balancing/SelectionMessages.h"
#include "membership/DatagramSocket.h"

#include <QTimer>

#include <deque>
#include <functional>
#include <map>
#include <span>

namespace filbertbeam {

struct SelectionServiceSettings
{
  std::string host;
  std::string domain;
  // That this host may use.
  double processorCores = 1;
  Endpoint listen;
  // Of each service, for all hosts together.
  ExtraAttemptLimits budget;
};

// Names an attempt until its report.
struct SelectionHandle
{
  // Another host that chose as the owner of the service, with its ticket; 0
  // when this host chose.
  Endpoint owner;
  std::uint64_t ownerTicket = 0;
  std::uint64_t localTicket = 0;
};

struct SelectionOutcome
{
  SelectionResult result;
  SelectionHandle handle;
  // "owner", "self" where this host is the owner, or "alone" where the owner
  // did not answer in time.
  std::string_view source;
};

// Chooses backend servers together with the other hosts. Each shard of a
// service has one owner, found by rendezvous hashing over the hosts, that sees
// every attempt at its servers: it counts them and pools what the hosts learn
// about health, so its work does not grow with the service. It only advises:
// the request itself goes from the entry host straight to the backend server,
// so the loss of an owner loses no request. A host whose owner does not answer
// in time chooses by what it has seen itself.
class SelectionService
{
public:
  using Callback = std::function<void(const SelectionOutcome&)>;

  static std::unique_ptr<SelectionService> Create(
    const SelectionServiceSettings& aSettings,
    const Clock& aClock,
    Random& aRandom,
    std::string& aReason);
  SelectionService(const SelectionService&) = delete;
  SelectionService& operator=(const SelectionService&) = delete;

  // Tells hosts that are new to this one that it is there.
  void SetHosts(std::vector<PeerHost> aHosts);
  // Asks aHosts for a sign of life.
  void ProbeHosts(std::span<const PeerHost> aHosts);
  // Sends aHeartbeat to the other hosts of this failure domain.
  void SendHeartbeat(const WatcherHeartbeat& aHeartbeat);
  using HeartbeatHandler =
    std::function<void(const WatcherHeartbeat&, const Endpoint& aSender)>;
  void SetHeartbeatHandler(HeartbeatHandler aHandler)
  {
    onHeartbeat_ = std::move(aHandler);
  }
  using AnnouncementHandler = std::function<void(const std::string& aHost)>;
  // Called when a host gave a sign of life by itself or when it was greeted.
  void SetAnnouncementHandler(AnnouncementHandler aHandler)
  {
    onAnnouncement_ = std::move(aHandler);
  }
  void SetBudget(const ExtraAttemptLimits& aBudget);
  // Sent along with every message, so that a host whose own watch of the
  // catalog is broken learns that it is behind.
  void SetKnownVersions(const KnownVersions& aKnown) { known_ = aKnown; }
  using VersionsHandler =
    std::function<void(const KnownVersions&, const Endpoint& aSender)>;
  // Called when a peer knows a newer version than this host.
  void SetNewerVersionsHandler(VersionsHandler aHandler)
  {
    onNewerVersions_ = std::move(aHandler);
  }
  void SetDirectory(const std::shared_ptr<const BackendDirectory>& aDirectory);

  // aCallback may come during the queryId; exactly once unless this is
  // destroyed.
  void Select(SelectionRequest aRequest, Callback aCallback);
  // Chooses without asking the owner.
  SelectionOutcome SelectWithoutOwner(SelectionRequest aRequest);
  void Finish(const SelectionHandle& aHandle, AttemptResult aResult);

  // Attempts that this host counts as under way.
  int PendingAttempts() const { return selector_.PendingAttempts(); }

  Endpoint LocalEndpoint() const { return socket_->LocalEndpoint(); }

private:
  struct PendingQuery
  {
    SelectionRequest request;
    Callback callback;
    std::string owner;
    Endpoint address;
    Instant dueAt;
  };

  // An ask of another host that was answered.
  struct AnsweredQuery
  {
    Endpoint requester;
    std::uint64_t queryId = 0;
    std::uint64_t ticket = 0;
    Instant respondedAt;
  };

  // An ask that was served without its answer.
  struct TimedOutQuery
  {
    std::string owner;
    Instant sentAt;
  };

  SelectionService(const SelectionServiceSettings& aSettings,
                   const Clock& aClock,
                   Random& aRandom);

  // This host's share of the burst of each service.
  void UpdateBurstShares();
  double BurstShareByRank(std::string_view aService);
  // The shard whose owner is asked for a server.
  Shard ChooseShard(const SelectionRequest& aRequest);
  // The outcome of this host's own choice.
  SelectionOutcome SelectLocally(const SelectionRequest& aRequest,
                                 std::string_view aSource);
  void OnDatagram(const Endpoint& aSender, ByteView aBytes);
  std::string EncodeAnnouncement(bool aIsResponseWanted = false) const;
  void OnVersions(const KnownVersions& aKnown, const Endpoint& aSender);
  void OnAnnouncement(const Endpoint& aSender,
                      const HostAnnouncement& aAnnouncement);
  void OnQuery(const Endpoint& aSender, const SelectionQuery& aQuery);
  void OnReport(const SelectionReport& aReport);
  void OnCancellation(const Endpoint& aSender,
                      const SelectionCancellation& aCancellation);
  // Tells aOwner how an attempt ended, now and once more.
  void Report(const Endpoint& aOwner, const TicketResult& aResult);
  void ResendReports();
  void OnResponse(const Endpoint& aSender, const SelectionResponse& aResponse);
  void OnLateResponse(const Endpoint& aSender,
                      const SelectionResponse& aResponse);
  void OnQueryTimeout();
  void ScheduleTimeout();

  const SelectionServiceSettings settings_;
  const Clock& clock_;
  std::unique_ptr<DatagramSocket> socket_;
  Random& random_;
  OwnerRanking ranking_;
  // All attempts that this host knows of: its own, and those of all hosts for
  // the services that it owns.
  BackendSelector selector_;
  std::shared_ptr<const BackendDirectory> directory_;
  std::map<std::uint64_t, PendingQuery> pendingQueries_;
  std::map<std::uint64_t, TimedOutQuery> timedOutQueries_;
  // In the order of their answers.
  std::deque<AnsweredQuery> answeredQueries_;
  // Results that were told since the last repetition, by owner; few in that
  // time.
  std::vector<std::pair<Endpoint, SelectionReport>> reportsToResend_;
  QTimer reportTimer_;
  std::uint64_t nextQueryId_ = 1;
  KnownVersions known_;
  VersionsHandler onNewerVersions_;
  AnnouncementHandler onAnnouncement_;
  HeartbeatHandler onHeartbeat_;
  QTimer queryTimer_;
};

} // namespace filbertbeam
