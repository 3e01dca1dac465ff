#pragma once

#include "balancing/Selection.h"
#include "directory/BackendServerRecord.h"

namespace filbertbeam {

// A server whose probability of an episode is lower counts as healthy.
inline constexpr double kMaxUnhealthyForRotation = 0.4;

// What the owner of a shard knows about a backend server when it selects one.
struct ServerEstimate
{
  // Probability of an episode, from 0 to 1.
  double unhealthyProbability = 0;
  int pendingAttempts = 0;
  // The server recently refused a request for lack of capacity.
  bool isFull = false;
  // Ratio of the server's latencies to those of its service.
  double slowness = 1;
  // Time since the server was last selected.
  Duration idle{};
  // The requesting host has an idle connection that the request may use.
  bool hasIdleConnection = false;
};

// What the owner of a shard knows about the service of a request.
struct ServiceEstimate
{
  // Mean latency of the request's route at healthy servers.
  Duration meanLatency{};
  // Share of failed attempts at unsuspected servers, from 0 to 1.
  double failingShare = 0;
};

// Cost in milliseconds of the caller's time that is expected if aServer gets
// aRequest. Far below 0 if the server should get it for the rotation.
double
ServerCost(const SelectionRequest& aRequest,
           const BackendServerRecord& aServer,
           const ServerEstimate& aEstimate,
           const ServiceEstimate& aService,
           Instant aNow);

// True if aServer should get a request because it has had none for some time.
bool
IsRotationDue(const SelectionRequest& aRequest,
              const BackendServerRecord& aServer,
              const ServerEstimate& aEstimate,
              const ServiceEstimate& aService);

} // namespace filbertbeam
