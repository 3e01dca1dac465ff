#pragma once

#include "base/Clock.h"
#include "slots/ServerId.h"
#include "slots/ShardScheduler.h"

#include <deque>
#include <map>
#include <optional>
#include <span>

namespace filbertbeam {

// Decides which backend servers of a shard take work: ejection within the
// floor, back-off, trials, readmission, cold start and leaving.
//
// After every call, either no server is ejected, or the healthy ones (neither
// ejected, cold nor leaving) are at least ceil(floor x configured) in number
// and hold at least that share of the configured slots.
class EjectionPolicy
{
public:
  struct ConfiguredServer
  {
    ServerId id = 0;
    int slots = 1;
    bool isLeaving = false;
  };

  explicit EjectionPolicy(double aFloor);

  // Takes the servers as configured now. The servers of the first call are
  // taken as warm; later ones are cold for kColdPeriod.
  void SetConfiguredServers(double aFloor,
                            std::span<const ConfiguredServer> aServers,
                            Instant aNow);

  // Ejects a healthy server where the floor allows it. aSeverity orders
  // ejected servers: the one with the lowest is readmitted first. Where the
  // floor is reached, a server that is much worse takes the place of the
  // least unhealthy ejected one.
  bool TryEject(ServerId aServer, double aSeverity, Instant aNow);

  // Takes the result of a trial request. aExcess is how far its latency was
  // above the peers' median, in spreads.
  void OnTrialResult(ServerId aServer,
                     bool aHasPassed,
                     double aExcess,
                     Instant aNow);

  // Lets cold servers become healthy and ejected ones come up for trial.
  void Advance(Instant aNow);
  std::optional<Instant> NextEvent(Instant aNow) const;

  ServerState State(ServerId aServer) const;
  // Most requests that the server may run at a time in its state.
  int ConcurrencyLimit(ServerId aServer, Instant aNow) const;
  int RecentEjections(ServerId aServer, Instant aNow) const;

private:
  struct Record
  {
    ServerState state = ServerState::Healthy;
    int slots = 1;
    Instant addedAt;
    double severity = 0;
    Instant trialAt;
    int passedTrials = 0;
    double trialExcessSum = 0;
    // Instants of ejections and failed trials, oldest first.
    std::deque<Instant> ejections;
  };

  struct Capacity
  {
    int servers = 0;
    int slots = 0;
  };

  static bool IsEjected(const Record& aRecord);
  Capacity HealthyCapacity() const;
  bool IsAboveFloor(const Capacity& aHealthy) const;
  // The ejected server with the lowest severity, or null.
  Record* LeastUnhealthyEjected();
  void EnforceFloor();
  void Eject(Record& aRecord, Instant aNow);

  double floor_;
  bool hasServers_ = false;
  std::map<ServerId, Record> records_;
};

// A server that entered is cold for this long: its samples do not count.
inline constexpr std::chrono::seconds kColdPeriod{ 10 };

} // namespace filbertbeam
