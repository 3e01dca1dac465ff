#pragma once

#include "balancing/OwnerRanking.h"
#include "quota/QuotaAllowance.h"
#include "quota/QuotaLedger.h"

#include <QTimer>

#include <functional>
#include <map>
#include <set>
#include <variant>

namespace filbertbeam {

// Sends the messages of a QuotaService to other hosts.
class QuotaTransport
{
public:
  virtual ~QuotaTransport() = default;

  virtual void SendQuota(const Endpoint& aReceiver,
                         const QuotaQuery& aQuery) = 0;
  virtual void SendQuota(const Endpoint& aReceiver,
                         const QuotaResponse& aResponse) = 0;
};

// The right to send one request, and the home host that granted it.
struct QuotaToken
{
  // Empty if there is no home to give it back to.
  std::string home;
  Endpoint address;
  Instant grantedAt;
};

struct QuotaVerdict
{
  bool isAdmitted = true;
  // When a refused request may return.
  Duration retryAfter{};
  QuotaToken token;
  // "home", "self", "known" for a refusal that is remembered, "alone" without a
  // home, or "unlimited".
  std::string_view source = "unlimited";
};

// Holds the requests of each workspace to its contract, over all hosts
// together. The tokens of a workspace are granted by its home, one host that is
// determined by rendezvous hashing; the other hosts ask it. Sends nothing
// while no workspace has a limit.
class QuotaService
{
public:
  using Callback = std::function<void(const QuotaVerdict&)>;

  QuotaService(std::string aHost,
               std::string aDomain,
               double aProcessorCores,
               const QuotaBound& aBound,
               const Clock& aClock,
               QuotaTransport& aTransport);
  QuotaService(const QuotaService&) = delete;
  QuotaService& operator=(const QuotaService&) = delete;

  void SetBound(const QuotaBound& aBound);
  void SetContracts(std::shared_ptr<const ContractTable> aContracts);
  void SetHosts(std::vector<PeerHost> aHosts);
  // Records a message that shows that a peer is alive.
  void OnPeer(const std::string& aHost,
              const std::string& aDomain,
              const Endpoint& aAddress,
              double aProcessorCores = 0);

  // Decides about a request of aWorkspace, which may be empty, if no message
  // is needed.
  std::optional<QuotaVerdict> Admit(std::string_view aWorkspace);
  // Asks the home. Calls aCallback exactly once, possibly before returning,
  // unless this object is destroyed first.
  void Request(std::string_view aWorkspace, Callback aCallback);
  // Gives back the token of a request that was not sent to any server. A token
  // that was held for long is lost.
  void Return(std::string_view aWorkspace, const QuotaToken& aToken);

  void OnQuery(const Endpoint& aSender, const QuotaQuery& aQuery);
  void OnResponse(const Endpoint& aSender, const QuotaResponse& aResponse);
  // Sends the messages that were collected. Called by a timer.
  void Flush();
  // Handles queries that got no response in time. Called by a timer.
  void OnTimeout();
  // Called by a timer while this host is a home.
  void OnTick();

private:
  struct Waiter
  {
    Callback callback;
    int tries = 0;
  };

  // What waits for one workspace.
  struct Demand
  {
    std::vector<Waiter> waiters;
    std::uint32_t returned = 0;
  };

  using Demands = std::map<std::string, Demand>;

  struct Batch
  {
    Endpoint address;
    Demands demands;
  };

  struct PendingQuery
  {
    std::string home;
    Endpoint address;
    Instant dueAt;
    Demands demands;
  };

  const Contract* LimitedContract(std::string_view aWorkspace) const;
  const PeerHost* HomeOf(std::string_view aWorkspace, Instant aNow);
  QuotaVerdict GrantLocally(const std::string& aWorkspace, Instant aNow);
  QuotaVerdict DecideAlone(const Contract& aContract, Instant aNow);
  void Ask(const std::string& aWorkspace, Waiter aWaiter);
  void AskAgain(PendingQuery& aQuery);
  void SendQuery(const std::string& aHome,
                 const Endpoint& aAddress,
                 Demands aDemands);
  void Apply(const QuotaGrant& aGrant,
             const PendingQuery& aQuery,
             const std::vector<Waiter>& aWaiters);
  QuotaGrant Answer(const QuotaDemand& aDemand,
                    const std::string& aMissedHome,
                    Instant aNow);
  void OnMissed(const std::string& aHome, Instant aNow);
  // Records that another host has been heard.
  void OnHeard(Instant aNow);
  // Asks another host whether it hears this one, when this home has heard no
  // other host for a while: it may be cut off.
  void ProbeWhenSilent(Instant aNow);
  bool IsAlone(bool aIsHome, Instant aNow) const;
  // Empties the buckets, and tells all hosts that this one is a home, so that
  // those which passed it over do not stay with another one.
  void BeginAsHome(std::string_view aCause, Instant aNow);
  // Detects that this process was paused while it may have been a home.
  void CheckInterruption(Instant aNow);
  void ScheduleTimeout();

  const std::string host_;
  const std::string domain_;
  const Clock& clock_;
  QuotaTransport& transport_;
  // Apart from that of the owners, since it counts other responses.
  OwnerRanking ranking_;
  QuotaLedger ledger_;
  QuotaAllowance allowance_;
  std::shared_ptr<const ContractTable> contracts_;

  // By the name of the home.
  std::map<std::string, Batch> batches_;
  std::map<std::uint64_t, PendingQuery> pendingQueries_;
  std::uint64_t nextQueryId_;
  // The hosts that missed a response since another host was heard.
  std::set<std::string> missedHomes_;
  std::string lastMissedHome_;
  Instant lastMissedAt_;
  Instant aloneUntil_;
  Instant lastHeardAt_;
  Instant nextProbeAt_;
  std::size_t probes_ = 0;

  // While this host is a home.
  std::optional<Instant> lastTickAt_;
  Instant lastQueryAt_;
  QTimer tickTimer_;
  QTimer flushTimer_;
  QTimer queryTimer_;
};

} // namespace filbertbeam
