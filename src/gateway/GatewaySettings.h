#pragma once

#include "base/Clock.h"
#include "http/HttpMessage.h"

#include <optional>
#include <string>
#include <vector>

namespace filbertbeam {

// What a host learns from its deployment at its start.
struct GatewaySettings
{
  std::string host;
  std::string region;
  std::string domain;
  // For the requests of callers.
  Endpoint front;
  // For the balancer's readiness checks.
  Endpoint readiness;
  // For datagrams between hosts.
  Endpoint peer;
  // For peers that start while the catalog is away; without a port, none.
  Endpoint snapshot;
  // The snapshot addresses of some peers; they may be stale.
  std::vector<Endpoint> peerSnapshots;
  // For metrics.
  Endpoint metrics;
  Endpoint catalog;

  // Processor that this host may use.
  double processorCores = 1;
  // From the signal to stop until the process is killed.
  Duration stopTime = std::chrono::seconds(6);
  // Attempts beyond the first of a request, over all hosts, per request and on
  // top of that, in any window.
  double extraAttemptRatio = 0.2;
  double extraAttemptBurst = 64;
  std::chrono::seconds extraAttemptWindow{ 10 };
  // A backend server that leaves gets no request later than this after the
  // catalog knows.
  Duration drainTime = std::chrono::seconds(2);

  bool operator==(const GatewaySettings&) const = default;
};

} // namespace filbertbeam
