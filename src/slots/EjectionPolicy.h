#pragma once

#include "base/Clock.h"
#include "slots/ServerId.h"
#include "slots/ShardScheduler.h"

#include <deque>
#include <map>
#include <optional>
#include <span>

namespace filbertbeam {

// Decides which backend servers of a shard receive requests. It ejects
// outliers, tries them again after a back-off, readmits them when their trials
// pass, and limits servers that were just added. The floor is the part of the
// configured servers that has to stay in service.
//
// After every call, either no server is ejected, or at least ceil(floor x
// configured) servers are healthy (neither ejected, on trial, cold nor leaving)
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

  // Replaces the configured servers. Servers of the first call are assumed to
  // be warm; servers added later are cold for kColdPeriod.
  void SetConfiguredServers(double aFloor,
                            std::span<const ConfiguredServer> aServers,
                            Instant aNow);

  // Ejects a healthy server if the floor allows it, and returns whether it did.
  // aSeverity orders ejected servers: the least severe one is readmitted first.
  // Where the floor allows no more ejections, a server that is much worse than
  // the least severe ejected one replaces it.
  bool TryEject(ServerId aServer, double aSeverity, Instant aNow);

  // Records the result of a trial request. aExcess is how far its latency was
  // above the peers' median, in spreads (see OutlierDetector).
  void OnTrialResult(ServerId aServer,
                     bool aHasPassed,
                     double aExcess,
                     Instant aNow);

  // Makes cold servers healthy and starts trials of ejected servers when the
  // time for that has come.
  void Advance(Instant aNow);
  std::optional<Instant> NextEvent(Instant aNow) const;

  ServerState State(ServerId aServer) const;
  // Returns how many requests the server may run at a time in its state.
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
    // Times of ejections and failed trials, oldest first.
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
  // Returns the ejected server with the lowest severity, or null.
  Record* LeastUnhealthyEjected();
  void EnforceFloor();
  void Eject(Record& aRecord, Instant aNow);

  double floor_;
  bool hasServers_ = false;
  std::map<ServerId, Record> records_;
};

// An added server is cold for this long; its samples do not count.
inline constexpr std::chrono::seconds kColdPeriod{ 10 };

} // namespace filbertbeam
