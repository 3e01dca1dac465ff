#pragma once

#include "base/LatencyHistogram.h"

#include <array>
#include <atomic>
#include <string>

namespace filbertbeam {

enum class GatewayCounter
{
  Requests,
  Succeeded,
  BackendFailures,
  RefusedNotRun,
  FailedUnknown,
  TimedOut,
  NotRouted,
  CallerLeft,
  Attempts,
  Retries,
  Hedges,
  // Attempts at a server that stated that it did not run the request.
  RefusedAttempts,
  UnusableChoices,
  ChosenWithoutOwner,
  // Requests that were refused or failed for want of memory.
  OutOfMemory,
  // Bytes of servers that belong to no open exchange, by connection.
  StrayBytes,
  // Requests that were refused for want of a key that a workspace holds.
  Unauthorized,
  // Requests that were refused since their workspace is over its limit.
  OverQuota,
};

// Counters and histograms of this host's traffic. Safe to use from any thread.
class GatewayMetrics
{
public:
  void Count(GatewayCounter aCounter);
  void RecordLatency(Duration aLatency) { latency_.Record(aLatency); }
  void RecordAttempt(Duration aLatency) { attempts_.Record(aLatency); }

  // Returns the metrics in Prometheus text format.
  std::string Format() const;

private:
  static constexpr std::size_t kCounters =
    static_cast<std::size_t>(GatewayCounter::OverQuota) + 1;

  std::array<std::atomic<std::uint64_t>, kCounters> counters_{};
  LatencyHistogram latency_;
  LatencyHistogram attempts_;
};

} // namespace filbertbeam
