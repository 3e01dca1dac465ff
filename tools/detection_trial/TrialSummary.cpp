#include "TrialSummary.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

constexpr double kHorizonSeconds = 60;

double
PerServerDay(int aCount, double aServerDays)
{
  return aServerDays > 0 ? aCount / aServerDays : 0;
}

std::string
FormatSeconds(double aSeconds)
{
  return aSeconds < 0 ? std::string("-") : fmt::format("{:.2f}", aSeconds);
}

} // namespace

void
DetectionSummary::Add(const DetectionTrial::Detection& aDetection)
{
  runs_ += 1;
  falseEjections_ += aDetection.falseEjections;
  failed_ += aDetection.failed;
  slowed_ += aDetection.slowed;
  if (aDetection.seconds) {
    seconds_.push_back(*aDetection.seconds);
  }
}

double
DetectionSummary::ShareDetectedWithin(double aSeconds) const
{
  const auto count =
    std::count_if(seconds_.begin(), seconds_.end(), [aSeconds](double aValue) {
      return aValue <= aSeconds;
    });
  return runs_ == 0 ? 0 : static_cast<double>(count) / runs_;
}

double
DetectionSummary::Quantile(double aShare) const
{
  std::vector<double> sorted = seconds_;
  std::sort(sorted.begin(), sorted.end());
  const auto rank =
    static_cast<std::size_t>(std::max(0.0, std::ceil(aShare * runs_) - 1));
  return rank < sorted.size() ? sorted[rank] : -1;
}

double
DetectionSummary::MeanFailed() const
{
  return runs_ == 0 ? 0 : failed_ / runs_;
}

double
DetectionSummary::MeanSlowed() const
{
  return runs_ == 0 ? 0 : slowed_ / runs_;
}

std::string
FormatCsv(const std::vector<TrialRow>& aRows)
{
  std::string text =
    "deployment,service,servers,slots,load,floor,fault,runs,server_days,"
    "share_detected_60s,p50_s,p99_s,false_ejections,"
    "false_ejections_per_server_day,failed_before,slowed_before,affected,"
    "baseline_share_detected_60s,baseline_p50_s,baseline_p99_s,"
    "baseline_false_ejections,baseline_false_ejections_per_server_day,"
    "baseline_failed_before,baseline_slowed_before\n";
  for (const TrialRow& row : aRows) {
    text += fmt::format(
      "{},{},{},{},{},{},{},{},{:.3f},{:.3f},{},{},{},{:.3f},{:.1f},{:.1f},"
      "{:.1f},{:.3f},{},{},{},{:.3f},{:.1f},{:.1f}\n",
      row.deployment,
      row.service,
      row.setup.servers,
      row.setup.slots,
      row.setup.load,
      row.setup.floor,
      FaultName(row.setup.fault),
      row.schedulerDetection.Runs(),
      row.serverDays,
      row.schedulerDetection.ShareDetectedWithin(kHorizonSeconds),
      FormatSeconds(row.schedulerDetection.Quantile(0.5)),
      FormatSeconds(row.schedulerDetection.Quantile(0.99)),
      row.schedulerDetection.FalseEjections(),
      PerServerDay(row.schedulerDetection.FalseEjections(), row.serverDays),
      row.schedulerDetection.MeanFailed(),
      row.schedulerDetection.MeanSlowed(),
      row.affected,
      row.baseline.ShareDetectedWithin(kHorizonSeconds),
      FormatSeconds(row.baseline.Quantile(0.5)),
      FormatSeconds(row.baseline.Quantile(0.99)),
      row.baseline.FalseEjections(),
      PerServerDay(row.baseline.FalseEjections(), row.serverDays),
      row.baseline.MeanFailed(),
      row.baseline.MeanSlowed());
  }
  return text;
}

std::string
FormatTable(const std::vector<TrialRow>& aRows)
{
  std::string text;
  std::string group;
  for (const TrialRow& row : aRows) {
    const std::string heading =
      fmt::format("{} {}: shard of {} servers with {} slots, load {:.0f}%, "
                  "floor {}",
                  row.deployment,
                  row.service,
                  row.setup.servers,
                  row.setup.slots,
                  100 * row.setup.load,
                  row.setup.floor);
    if (heading != group) {
      group = heading;
      text += fmt::format("\n{}\n{:<24} {:>5} {:>7} {:>7} {:>7} {:>8} {:>7} "
                          "{:>7} | {:>7} {:>7} {:>7} {:>8} {:>7} {:>7}\n",
                          heading,
                          "fault",
                          "runs",
                          "<60 s",
                          "p50 s",
                          "p99 s",
                          "false/d",
                          "failed",
                          "slowed",
                          "<60 s",
                          "p50 s",
                          "p99 s",
                          "false/d",
                          "failed",
                          "slowed");
    }
    text += fmt::format(
      "{:<24} {:>5} {:>6.1f}% {:>7} {:>7} {:>8.3f} {:>7.1f} {:>7.1f} | "
      "{:>6.1f}% {:>7} {:>7} {:>8.3f} {:>7.1f} {:>7.1f}\n",
      FaultName(row.setup.fault),
      row.schedulerDetection.Runs(),
      100 * row.schedulerDetection.ShareDetectedWithin(kHorizonSeconds),
      FormatSeconds(row.schedulerDetection.Quantile(0.5)),
      FormatSeconds(row.schedulerDetection.Quantile(0.99)),
      PerServerDay(row.schedulerDetection.FalseEjections(), row.serverDays),
      row.schedulerDetection.MeanFailed(),
      row.schedulerDetection.MeanSlowed(),
      100 * row.baseline.ShareDetectedWithin(kHorizonSeconds),
      FormatSeconds(row.baseline.Quantile(0.5)),
      FormatSeconds(row.baseline.Quantile(0.99)),
      PerServerDay(row.baseline.FalseEjections(), row.serverDays),
      row.baseline.MeanFailed(),
      row.baseline.MeanSlowed());
  }
  return text;
}

} // namespace filbertbeam
