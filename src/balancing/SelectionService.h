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
  RepeatBudgetLimits budget;
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
  void Greet(std::span<const PeerHost> aHosts);
  // Sends aBeat to the other hosts of this failure domain.
  void SendBeat(const WatcherBeat& aBeat);
  using BeatHandler =
    std::function<void(const WatcherBeat&, const Endpoint& aSender)>;
  void SetBeatHandler(BeatHandler aHandler) { onBeat_ = std::move(aHandler); }
  using GreetingHandler = std::function<void(const std::string& aHost)>;
  // Called when a host gave a sign of life by itself or when it was greeted.
  void SetGreetingHandler(GreetingHandler aHandler)
  {
    onGreeting_ = std::move(aHandler);
  }
  void SetBudget(const RepeatBudgetLimits& aBudget);
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

  // aCallback may come during the call; exactly once unless this is destroyed.
  void Select(SelectionRequest aRequest, Callback aCallback);
  // Chooses without asking the owner.
  SelectionOutcome SelectAlone(SelectionRequest aRequest);
  void Finish(const SelectionHandle& aHandle, AttemptResult aResult);

  // Attempts that this host counts as under way.
  int PendingAttempts() const { return selector_.PendingAttempts(); }

  Endpoint LocalEndpoint() const { return socket_->LocalEndpoint(); }

private:
  struct PendingAsk
  {
    SelectionRequest request;
    Callback callback;
    std::string owner;
    Endpoint address;
    Instant dueAt;
  };

  // An ask of another host that was answered.
  struct AnsweredAsk
  {
    Endpoint asker;
    std::uint64_t call = 0;
    std::uint64_t ticket = 0;
    Instant answeredAt;
  };

  // An ask that was served without its answer.
  struct MissedAsk
  {
    std::string owner;
    Instant askedAt;
  };

  SelectionService(const SelectionServiceSettings& aSettings,
                   const Clock& aClock,
                   Random& aRandom);

  // This host's share of the burst of each service.
  void ShareBursts();
  double RankedBurstShare(std::string_view aService);
  // The shard whose owner is asked for a server.
  Shard ChooseShard(const SelectionRequest& aRequest);
  // The outcome of this host's own choice.
  SelectionOutcome ChooseHere(const SelectionRequest& aRequest,
                              std::string_view aSource);
  void OnDatagram(const Endpoint& aSender, ByteView aBytes);
  std::string EncodeHello(bool aIsAnswerWanted = false) const;
  void OnVersions(const KnownVersions& aKnown, const Endpoint& aSender);
  void OnHello(const Endpoint& aSender, const SelectionHello& aHello);
  void OnAsk(const Endpoint& aSender, const SelectionAsk& aAsk);
  void OnReport(const SelectionReport& aReport);
  void OnWithdrawal(const Endpoint& aSender,
                    const SelectionWithdrawal& aWithdrawal);
  // Tells aOwner how an attempt ended, now and once more.
  void Report(const Endpoint& aOwner, const TicketResult& aResult);
  void RepeatReports();
  void OnAnswer(const Endpoint& aSender, const SelectionAnswer& aAnswer);
  void OnLateAnswer(const Endpoint& aSender, const SelectionAnswer& aAnswer);
  void OnAskTimeout();
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
  std::map<std::uint64_t, PendingAsk> asks_;
  std::map<std::uint64_t, MissedAsk> missed_;
  // In the order of their answers.
  std::deque<AnsweredAsk> answered_;
  // Results that were told since the last repetition, by owner; few in that
  // time.
  std::vector<std::pair<Endpoint, SelectionReport>> reported_;
  QTimer reportTimer_;
  std::uint64_t nextCall_ = 1;
  KnownVersions known_;
  VersionsHandler onNewerVersions_;
  GreetingHandler onGreeting_;
  BeatHandler onBeat_;
  QTimer timer_;
};

} // namespace filbertbeam
