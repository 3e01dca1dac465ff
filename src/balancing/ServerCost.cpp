#include "balancing/ServerCost.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;
using Milliseconds = std::chrono::duration<double, std::milli>;

// Costs are in milliseconds of the caller's time.

// Traffic between failure domains is expensive: a large response from another
// domain costs about a third of the value of the request.
constexpr double kOtherDomainCost = 30;
constexpr double kOtherDomainLargeCost = 350;
// Opening a connection takes up to a round trip between failure domains and a
// place among the connections that the server accepts.
constexpr double kNewConnectionCost = 12;
// A failed request costs its caller this many latency objectives. The cost is
// lower for an idempotent request, which gets a second attempt.
constexpr double kFailureObjectives = 3.0;
constexpr double kIdempotentFailureObjectives = 1.0;
// Cost, in latency objectives, of a server that the requesting host recently
// failed to reach.
constexpr double kAvoidedObjectives = 2.0;
// Every unsuspected server gets a request within this time, so that the
// estimate of its health stays current and no healthy server stays idle.
constexpr milliseconds kRotationTime{ 1'000 };
// Requests from other failure domains are used for the rotation only after this
// time.
constexpr milliseconds kOtherDomainRotationTime{ 1'400 };
constexpr double kRotationCost = -10'000;
// While more than this share of the attempts at unsuspected servers fails,
// suspicion is no reason to leave a server idle: a suspected server without
// pending requests also gets one after kSuspectedRotationTime.
constexpr double kHighFailureShare = 0.1;
constexpr milliseconds kSuspectedRotationTime{ 1'600 };
constexpr double kMaxUnhealthyForIdempotentRotation = 0.7;
// Cost, in mean latencies, of pending requests that occupy all slots of a
// server; proportionally less for fewer.
constexpr double kBusyLatencies = 0.12;
// Ratio of a server's latencies to those of its service above which its cost
// increases.
constexpr double kTolerableSlowness = 1.25;
// Cost of a queue, in mean latencies: a base and an amount for every queued
// request per slot. Queued requests are lost when the server becomes unhealthy.
constexpr double kQueueBase = 0.4;
constexpr double kQueueFactor = 1.6;
// Cost, in mean latencies, of a server with at most one free slot: servers slow
// down when they are nearly full.
constexpr double kNearlyFullLatencies = 0.12;
// Cost of a cold server, in mean latencies: it takes about twice as long.
constexpr double kColdLatencies = 1.0;

double
SlotCount(const BackendServerRecord& aServer)
{
  return std::max(aServer.slots, 1);
}

double
BusySlots(const BackendServerRecord& aServer, const ServerEstimate& aEstimate)
{
  const double pending = aEstimate.pendingAttempts;
  return aEstimate.isFull ? std::max(pending, SlotCount(aServer) + 1) : pending;
}

// Cost of the time that the request takes at aServer beyond the usual.
double
LatencyCost(const BackendServerRecord& aServer,
            const ServerEstimate& aEstimate,
            double aMean,
            Instant aNow)
{
  const double slots = SlotCount(aServer);
  const double busy = BusySlots(aServer, aEstimate);
  double cost = aMean * kBusyLatencies * busy / slots;
  if (busy >= slots) {
    cost += aMean * aEstimate.slowness *
            (kQueueBase + kQueueFactor * (busy - slots + 1) / slots);
  }
  if (busy + 1 >= slots) {
    cost += aMean * kNearlyFullLatencies;
  }
  cost += aMean * std::max(aEstimate.slowness - kTolerableSlowness, 0.0);
  if (aNow < aServer.warmupEndsAt) {
    cost += aMean * kColdLatencies;
  }
  return cost;
}

double
FailureCost(const SelectionRequest& aRequest, const ServerEstimate& aEstimate)
{
  const double objective = Milliseconds(aRequest.latencyObjective).count();
  return aEstimate.unhealthyProbability * objective *
         (aRequest.isIdempotent ? kIdempotentFailureObjectives
                                : kFailureObjectives);
}

// Cost of the path between the requesting host and aServer.
double
PathCost(const SelectionRequest& aRequest,
         const BackendServerRecord& aServer,
         const ServerEstimate& aEstimate)
{
  double cost = aEstimate.hasIdleConnection ? 0 : kNewConnectionCost;
  if (aServer.domain != aRequest.domain) {
    cost +=
      aRequest.hasLargeResponses ? kOtherDomainLargeCost : kOtherDomainCost;
  }
  if (std::ranges::find(aRequest.avoided, aServer.id) !=
      aRequest.avoided.end()) {
    cost +=
      Milliseconds(aRequest.latencyObjective).count() * kAvoidedObjectives;
  }
  return cost;
}

} // namespace

double
ServerCost(const SelectionRequest& aRequest,
           const BackendServerRecord& aServer,
           const ServerEstimate& aEstimate,
           const ServiceEstimate& aService,
           Instant aNow)
{
  const double mean = Milliseconds(aService.meanLatency).count();
  double cost = FailureCost(aRequest, aEstimate) +
                LatencyCost(aServer, aEstimate, mean, aNow) +
                PathCost(aRequest, aServer, aEstimate);
  if (BusySlots(aServer, aEstimate) < SlotCount(aServer) &&
      IsRotationDue(aRequest, aServer, aEstimate, aService)) {
    cost += kRotationCost;
  }
  return cost;
}

bool
IsRotationDue(const SelectionRequest& aRequest,
              const BackendServerRecord& aServer,
              const ServerEstimate& aEstimate,
              const ServiceEstimate& aService)
{
  const bool isNear = aServer.domain == aRequest.domain;
  if (aRequest.purpose != AttemptPurpose::First ||
      (!isNear && aRequest.hasLargeResponses)) {
    return false;
  }
  const double limit = aRequest.isIdempotent
                         ? kMaxUnhealthyForIdempotentRotation
                         : kMaxUnhealthyForRotation;
  if (aEstimate.unhealthyProbability < limit) {
    return aEstimate.idle > (isNear ? kRotationTime : kOtherDomainRotationTime);
  }
  return aService.failingShare > kHighFailureShare &&
         aEstimate.pendingAttempts == 0 &&
         aEstimate.idle > kSuspectedRotationTime;
}

} // namespace filbertbeam
