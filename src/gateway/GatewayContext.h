#pragma once

#include "balancing/SelectionService.h"
#include "base/MemoryBudget.h"
#include "directory/BackendDirectory.h"
#include "gateway/ExchangeHeaderCodec.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/KeyKnowledge.h"
#include "gateway/PathHealth.h"
#include "gateway/StatedAvailability.h"
#include "http/HttpClient.h"
#include "routing/RoutingTable.h"
#include "routing/WeightedSplit.h"

#include <memory>
#include <optional>

namespace filbertbeam {

// State shared by the sessions of the traffic thread.
struct GatewayContext
{
  HttpClient& client;
  SelectionService& selection;
  // For the buffers of all requests and responses together.
  MemoryBudget& memory;
  const ExchangeHeaderCodec& headerCodec;
  GatewayMetrics& metrics;
  const Clock& clock;
  Random& random;
  WeightedSplit split;
  PathHealth paths;
  StatedAvailability availability;
  // Null until the first configuration has been read.
  std::shared_ptr<const RoutingTable> routing;
  std::shared_ptr<const BackendDirectory> directory;
  // During a planned stop, the time at which the last response has to be
  // complete.
  std::optional<Instant> stopsAt = {};
  KeyKnowledge keys = KeyKnowledge();
};

} // namespace filbertbeam
