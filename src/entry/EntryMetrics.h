#pragma once

#include "base/LatencyHistogram.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace filbertbeam {

// Metrics of one entry host. They are updated on the entry thread and may be
// read on any thread.
struct EntryMetrics
{
  std::atomic<std::uint64_t> requests{ 0 };
  std::atomic<std::uint64_t> excessRequests{ 0 };
  std::atomic<std::uint64_t> refusedNotRun{ 0 };
  std::atomic<std::uint64_t> unknownOutcomes{ 0 };
  std::atomic<std::uint64_t> truncatedResponses{ 0 };
  std::atomic<std::uint64_t> retries{ 0 };
  std::atomic<std::uint64_t> replayedResponses{ 0 };
  // Time from the request head to the response head, minus the time that the
  // backend server took.
  LatencyHistogram addedLatency;
  LatencyHistogram totalLatency;

  // Formats the metrics in the Prometheus text format.
  std::string Format() const;
};

} // namespace filbertbeam
