#include "entry/EntryMetrics.h"

#include "base/MetricText.h"

namespace filbertbeam {

std::string
EntryMetrics::Format() const
{
  std::string text;
  AppendMetric(text, "counter", "filbertbeam_requests_total", requests.load());
  AppendMetric(text,
               "counter",
               "filbertbeam_excess_requests_total",
               excessRequests.load());
  AppendMetric(
    text, "counter", "filbertbeam_refused_not_run_total", refusedNotRun.load());
  AppendMetric(text,
               "counter",
               "filbertbeam_unknown_outcomes_total",
               unknownOutcomes.load());
  AppendMetric(text,
               "counter",
               "filbertbeam_truncated_responses_total",
               truncatedResponses.load());
  AppendMetric(text, "counter", "filbertbeam_retries_total", retries.load());
  AppendMetric(text,
               "counter",
               "filbertbeam_replayed_responses_total",
               replayedResponses.load());
  text += addedLatency.Format("filbertbeam_added_latency_seconds");
  text += totalLatency.Format("filbertbeam_total_latency_seconds");
  return text;
}

} // namespace filbertbeam
