#pragma once

#include "base/LatencyHistogram.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace filbertbeam {

// Counters of one entry host; filled on the entry thread, read from any.
struct EntryMetrics
{
  std::atomic<std::uint64_t> requests{ 0 };
  std::atomic<std::uint64_t> excessRequests{ 0 };
  std::atomic<std::uint64_t> refusedNotRun{ 0 };
  std::atomic<std::uint64_t> unknownOutcomes{ 0 };
  std::atomic<std::uint64_t> truncatedResponses{ 0 };
  std::atomic<std::uint64_t> retries{ 0 };
  std::atomic<std::uint64_t> replayedResponses{ 0 };
  // Time from the request's head to the response's head, less the time that
  // the backend server took.
  LatencyHistogram addedLatency;
  LatencyHistogram totalLatency;

  // Prometheus text format.
  std::string Format() const;
};

} // namespace filbertbeam
