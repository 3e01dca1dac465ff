#pragma once

#include "base/Clock.h"
#include "http/HttpServer.h"
#include "quota/QuotaBound.h"

#include <optional>
#include <string>
#include <vector>

namespace filbertbeam {

// Settings that a host receives from its deployment when it starts.
struct GatewaySettings
{
  std::string host;
  std::string region;
  std::string domain;
  // Listens for the requests of callers.
  Endpoint front;
  // Listens for the load balancer's readiness checks.
  Endpoint readiness;
  // Receives datagrams of other hosts.
  Endpoint peer;
  // Serves catalog data to peers, for example to those that start while the
  // catalog is unavailable.
  Endpoint snapshot;
  // Snapshot addresses of some peers; they may be out of date.
  std::vector<Endpoint> peerSnapshots;
  // Serves metrics.
  Endpoint metrics;
  Endpoint catalog;

  // Processor cores that this host may use.
  double processorCores = 1;
  // Memory that the process may use, in bytes.
  std::size_t memoryBytes = 512'000'000;
  // Time from the stop signal until the process is killed.
  Duration stopTime = std::chrono::seconds(6);
  // Limits of the extra attempts of all hosts together: in any window, the
  // ratio per request plus the burst.
  double extraAttemptRatio = 0.2;
  double extraAttemptBurst = 64;
  std::chrono::seconds extraAttemptWindow{ 10 };
  // How far the requests of a workspace may exceed its contract.
  QuotaBound quota;
  // A leaving backend server receives no request later than this after the
  // catalog shows that it leaves.
  Duration drainTime = std::chrono::seconds(2);
  // A configuration takes effect within this time after the catalog shows it.
  Duration configurationTime = std::chrono::seconds(2);
  // The times above hold once the catalog and the host have been undisturbed
  // for this long.
  Duration calmTime = std::chrono::seconds(3);
  // A host that is out of touch for longer than this, without the catalog and
  // without a peer that reads it, refuses requests that need a key. Empty: it
  // goes on with the keys that it knows.
  std::optional<Duration> keyTrustTime;
  // Window in which the body of a caller's request has to arrive at a minimum
  // rate.
  std::chrono::milliseconds bodyGrace = HttpServerLimits{}.bodyGrace;

  bool operator==(const GatewaySettings&) const = default;
};

} // namespace filbertbeam
