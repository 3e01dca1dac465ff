#pragma once

#include "balancing/BackendSelector.h"
#include "balancing/OwnerQueue.h"
#include "balancing/OwnerRanking.h"
#include "balancing/QuotaService.h"
#include "balancing/SelectionMessages.h"
#include "balancing/WaitingQueries.h"
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
  // Processor capacity that this host may use.
  double processorCores = 1;
  Endpoint listen;
  // Per service, for all hosts together.
  ExtraAttemptLimits budget;
  QuotaBound quota;
};

// Identifies an attempt until its result is reported.
struct SelectionHandle
{
  // The host that selected the server as the owner of the shard, with its
  // ticket; the ticket is 0 if this host selected the server.
  Endpoint owner;
  std::uint64_t ownerTicket = 0;
  std::uint64_t localTicket = 0;
};

struct SelectionOutcome
{
  SelectionResult result;
  SelectionHandle handle;
  // "owner"; "self" if this host is the owner; or "alone" if the owner did not
  // respond in time.
  std::string_view source;
};

// Selects backend servers in cooperation with the other hosts. Each shard of a
// service has one owner, determined by rendezvous hashing over the hosts. The
// owner counts all attempts at the servers of its shard and combines the health
// observations of all hosts, so its work does not grow with the service. It
// only advises: the entry host sends the request directly to the backend
// server, so no request is lost with an owner. A host whose owner does not
// respond in time selects by its own observations.
class SelectionService : private QuotaTransport
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

  // Announces this host to those in aHosts that are new to it.
  void SetHosts(std::vector<PeerHost> aHosts);
  // Requests an announcement from each of aHosts.
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
  // Called when a host announces itself, unprompted or in response to a probe.
  void SetAnnouncementHandler(AnnouncementHandler aHandler)
  {
    onAnnouncement_ = std::move(aHandler);
  }
  void SetBudget(const ExtraAttemptLimits& aBudget);
  // Sets the versions to send with every query and response, so that a host
  // whose own watch of the catalog is broken learns that it is behind.
  void SetKnownVersions(const KnownVersions& aKnown) { known_ = aKnown; }
  using VersionsHandler =
    std::function<void(const KnownVersions&, const Endpoint& aSender)>;
  // Called when a peer has read a newer version than this host.
  void SetNewerVersionsHandler(VersionsHandler aHandler)
  {
    onNewerVersions_ = std::move(aHandler);
  }
  void SetDirectory(const std::shared_ptr<const BackendDirectory>& aDirectory);

  // Calls aCallback exactly once, possibly before returning, unless this object
  // is destroyed or the selection is cancelled first. Returns an id for
  // CancelWaiting(); later ids are greater.
  std::uint64_t Select(SelectionRequest aRequest, Callback aCallback);
  // The caller of a request that may still wait for a server has left.
  void CancelWaiting(std::uint64_t aSelectionId);
  // Selects a server without querying the owner.
  SelectionOutcome SelectWithoutOwner(SelectionRequest aRequest);
  void Finish(const SelectionHandle& aHandle, AttemptResult aResult);

  // Holds requests to the contracts of their workspaces. Shares the socket.
  QuotaService& Quota() { return quota_; }

  // Number of attempts that this host counts as pending.
  int PendingAttempts() const { return selector_.PendingAttempts(); }

  Endpoint LocalEndpoint() const { return socket_->LocalEndpoint(); }

private:
  // A query of another host to which this host has responded.
  struct AnsweredQuery
  {
    Endpoint requester;
    std::uint64_t queryId = 0;
    std::uint64_t ticket = 0;
    Instant respondedAt;
  };

  // A query of another host, or of this one, that waits in ownerQueue_.
  struct QueuedQuery
  {
    std::uint64_t queryId = 0;
    // Empty for this host's own.
    std::optional<Endpoint> requester;
  };

  // A query that got no response in time.
  struct TimedOutQuery
  {
    std::string owner;
    Instant sentAt;
  };

  SelectionService(const SelectionServiceSettings& aSettings,
                   const Clock& aClock,
                   Random& aRandom);

  void SendQuota(const Endpoint& aReceiver, const QuotaQuery& aQuery) override;
  void SendQuota(const Endpoint& aReceiver,
                 const QuotaResponse& aResponse) override;
  // Updates this host's share of the burst of each service.
  void UpdateBurstShares();
  // Returns the shard whose owner is queried for a server.
  Shard ChooseShard(const SelectionRequest& aRequest);
  // Returns a selection made by this host.
  SelectionOutcome SelectLocally(const SelectionRequest& aRequest,
                                 std::string_view aSource);
  SelectionOutcome LocalOutcome(const SelectionResult& aResult,
                                std::string_view aSource);
  // Selects a server as the owner of the shard, or lets the request wait.
  void OfferLocally(std::uint64_t aQueryId,
                    const SelectionRequest& aRequest,
                    Callback aCallback);
  void Respond(const Endpoint& aRequester,
               std::uint64_t aQueryId,
               const SelectionResult& aResult);
  void RespondWaiting(const Endpoint& aRequester, std::uint64_t aQueryId);
  // Removes the query from ownerQueue_. Returns false if it does not wait.
  bool CancelQueued(const std::optional<Endpoint>& aRequester,
                    std::uint64_t aQueryId);
  // Returns the id in ownerQueue_ of a query that waits there.
  std::optional<std::uint64_t> FindQueued(
    const std::optional<Endpoint>& aRequester,
    std::uint64_t aQueryId) const;
  // Serves the waiting requests soon, after a slot may have become free.
  void ScheduleServing();
  void ServeWaiting();
  void RepeatWaitingQueries();
  void OnDatagram(const Endpoint& aSender, ByteView aBytes);
  std::string EncodeAnnouncement(bool aIsResponseWanted = false) const;
  void OnVersions(const KnownVersions& aKnown, const Endpoint& aSender);
  void OnAnnouncement(const Endpoint& aSender,
                      const HostAnnouncement& aAnnouncement);
  void OnQuery(const Endpoint& aSender, const SelectionQuery& aQuery);
  void OnReport(const SelectionReport& aReport);
  void OnCancellation(const Endpoint& aSender,
                      const SelectionCancellation& aCancellation);
  // Reports the result of an attempt to aOwner, immediately and once more
  // later.
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
  QuotaService quota_;
  // Counts this host's own attempts, and those of all hosts at the servers of
  // shards that it owns.
  BackendSelector selector_;
  // Requests for the servers of the shards that this host owns.
  OwnerQueue ownerQueue_;
  // By their ids in ownerQueue_.
  std::map<std::uint64_t, QueuedQuery> queuedQueries_;
  std::shared_ptr<const BackendDirectory> directory_;
  std::map<std::uint64_t, PendingQuery> pendingQueries_;
  WaitingQueries waitingQueries_;
  std::map<std::uint64_t, TimedOutQuery> timedOutQueries_;
  // In the order of the responses.
  std::deque<AnsweredQuery> answeredQueries_;
  // Reports sent since the last resend, by owner; few at a time.
  std::vector<std::pair<Endpoint, SelectionReport>> reportsToResend_;
  QTimer reportTimer_;
  std::uint64_t nextQueryId_;
  KnownVersions known_;
  VersionsHandler onNewerVersions_;
  AnnouncementHandler onAnnouncement_;
  HeartbeatHandler onHeartbeat_;
  QTimer queryTimer_;
  QTimer servingTimer_;
  QTimer repeatTimer_;
};

} // namespace filbertbeam
