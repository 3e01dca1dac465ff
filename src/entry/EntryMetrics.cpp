#include "entry/EntryMetrics.h"

#include <fmt/format.h>

namespace filbertbeam {

namespace {

void
AppendCounter(std::string& aText,
              std::string_view aName,
              const std::atomic<std::uint64_t>& aValue)
{
  aText +=
    fmt::format("# TYPE {} counter\n{} {}\n", aName, aName, aValue.load());
}

} // namespace

std::string
EntryMetrics::Format() const
{
  std::string text;
  AppendCounter(text, "filbertbeam_requests_total", requests);
  AppendCounter(text, "filbertbeam_excess_requests_total", excessRequests);
  AppendCounter(text, "filbertbeam_refused_not_run_total", refusedNotRun);
  AppendCounter(text, "filbertbeam_unknown_outcomes_total", unknownOutcomes);
  AppendCounter(
    text, "filbertbeam_truncated_responses_total", truncatedResponses);
  AppendCounter(text, "filbertbeam_retries_total", retries);
  AppendCounter(
    text, "filbertbeam_replayed_responses_total", replayedResponses);
  text += addedLatency.Format("filbertbeam_added_latency_seconds");
  text += totalLatency.Format("filbertbeam_total_latency_seconds");
  return text;
}

} // namespace filbertbeam
