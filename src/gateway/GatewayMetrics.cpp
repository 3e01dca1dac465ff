#include "gateway/GatewayMetrics.h"

#include "base/MetricText.h"

namespace filbertbeam {

namespace {

constexpr std::array<const char*, 18> kNames{
  "requests",         "succeeded",    "backend_failures", "refused_not_run",
  "failed_unknown",   "timed_out",    "not_routed",       "caller_left",
  "attempts",         "repeats",      "hedges",           "refused_attempts",
  "unusable_choices", "chosen_alone", "out_of_memory",    "stray_bytes",
  "unauthorized",     "over_quota",
};

} // namespace

void
GatewayMetrics::Count(GatewayCounter aCounter)
{
  counters_[static_cast<std::size_t>(aCounter)].fetch_add(
    1, std::memory_order_relaxed);
}

std::string
GatewayMetrics::Format() const
{
  std::string text;
  for (std::size_t i = 0; i < kCounters; ++i) {
    AppendMetric(text,
                 "counter",
                 fmt::format("filbertbeam_{}_total", kNames[i]),
                 counters_[i].load(std::memory_order_relaxed));
  }
  text += latency_.Format("filbertbeam_request_seconds");
  text += attempts_.Format("filbertbeam_attempt_seconds");
  return text;
}

} // namespace filbertbeam
