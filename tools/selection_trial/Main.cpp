#include "SelectionTrial.h"
#include "base/Log.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

DEFINE_int32(runs, 200, "Runs per service and kind of episode.");
DEFINE_double(healthy_hours, 2, "Simulated hours without an episode.");
DEFINE_uint64(seed, 1, "Seed of the first run; later runs count up from it.");
DEFINE_int32(jobs, 4, "Number of threads; the results do not depend on it.");

namespace {

using namespace filbertbeam;

constexpr double kWarmUpSeconds = 20;
constexpr double kEpisodeSeconds = 4;
// Each run starts the episode later by this step, so that the starts are spread
// over the rotation of the servers.
constexpr double kStepSeconds = 0.037;
constexpr double kHealthyPartSeconds = 600;
constexpr double kSecondsPerDay = 86'400;

struct ServiceKind
{
  const char* deployment;
  const char* service;
  int servers;
  int slots;
  double requestsPerSecond;
  double meanSeconds;
  double logDeviation;
  double latencyObjective;
  double timeout;
};

// The services of both deployments under normal load.
constexpr ServiceKind kServices[] = {
  { "authority", "registry", 11, 4, 35, 0.41, 0.8, 1.2, 2.0 },
  { "authority", "permits", 20, 4, 82.4, 0.31, 0.3, 1.2, 1.5 },
  { "authority", "library", 6, 4, 24.7, 0.25, 0.65, 0.8, 1.5 },
  { "saengthong", "catalogue", 11, 2, 34.7, 0.21, 0.8, 0.6, 2.0 },
  { "saengthong", "commissions", 20, 2, 78.2, 0.16, 0.3, 0.6, 2.5 },
  { "saengthong", "wholesale", 6, 2, 23.8, 0.13, 0.65, 0.4, 1.5 },
};

constexpr Episode kEpisodes[] = { Episode::Hanging,
                                  Episode::BlackHole,
                                  Episode::Errors,
                                  Episode::Slow,
                                  Episode::None };

SelectionTrialSetup
SetupOf(const ServiceKind& aService, Episode aEpisode, int aRun)
{
  SelectionTrialSetup setup;
  setup.servers = aService.servers;
  setup.slots = aService.slots;
  setup.requestsPerSecond = aService.requestsPerSecond;
  setup.serviceTimes.meanSeconds = aService.meanSeconds;
  setup.serviceTimes.logDeviation = aService.logDeviation;
  setup.latencyObjective = aService.latencyObjective;
  setup.timeout = aService.timeout;
  setup.episode = aEpisode;
  setup.seed = FLAGS_seed + static_cast<std::uint64_t>(aRun);
  if (aEpisode == Episode::None) {
    setup.seconds = kHealthyPartSeconds;
    return setup;
  }
  setup.episodeBegin = kWarmUpSeconds + kStepSeconds * aRun;
  setup.episodeEnd = setup.episodeBegin + kEpisodeSeconds;
  setup.seconds = setup.episodeEnd;
  return setup;
}

std::vector<SelectionTrialResult>
RunAll(const ServiceKind& aService, Episode aEpisode)
{
  const int runs =
    aEpisode == Episode::None
      ? static_cast<int>(FLAGS_healthy_hours * 3600 / kHealthyPartSeconds)
      : FLAGS_runs;
  std::vector<SelectionTrialResult> results(static_cast<std::size_t>(runs));
  std::atomic<int> next = 0;
  std::vector<std::jthread> workers;
  for (int i = 0; i < std::max(FLAGS_jobs, 1); ++i) {
    workers.emplace_back([&] {
      for (int run = next++; run < runs; run = next++) {
        results[static_cast<std::size_t>(run)] =
          RunSelectionTrial(SetupOf(aService, aEpisode, run));
      }
    });
  }
  workers.clear();
  return results;
}

// Returns the quantile in milliseconds, or "never" when less than this share of
// the runs detected the episode.
std::string
QuantileText(std::vector<double> aSeconds, std::size_t aRuns, double aShare)
{
  std::ranges::sort(aSeconds);
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aRuns - 1));
  return index < aSeconds.size() ? fmt::format("{:.0f}", aSeconds[index] * 1000)
                                 : "never";
}

void
PrintEpisode(const ServiceKind& aService,
             Episode aEpisode,
             const std::vector<SelectionTrialResult>& aResults)
{
  std::vector<double> detectionTimes;
  std::vector<double> baselineDetectionTimes;
  double failed = 0;
  for (const SelectionTrialResult& result : aResults) {
    if (result.detectedAfter) {
      detectionTimes.push_back(*result.detectedAfter);
    }
    if (result.baselineDetectedAfter) {
      baselineDetectionTimes.push_back(*result.baselineDetectedAfter);
    }
    failed += result.failed;
  }
  const std::size_t runs = aResults.size();
  std::cout << fmt::format(
    "{:<10} {:<11} {:<10} {:>6} {:>6} {:>9.2f} | {:>6} {:>6}\n",
    aService.deployment,
    aService.service,
    EpisodeName(aEpisode),
    QuantileText(detectionTimes, runs, 0.5),
    QuantileText(detectionTimes, runs, 0.99),
    failed / static_cast<double>(runs),
    QuantileText(baselineDetectionTimes, runs, 0.5),
    QuantileText(baselineDetectionTimes, runs, 0.99));
}

void
PrintHealthy(const ServiceKind& aService,
             const std::vector<SelectionTrialResult>& aResults)
{
  int suspicions = 0;
  for (const SelectionTrialResult& result : aResults) {
    suspicions += result.falseSuspicions;
  }
  const double days = static_cast<double>(aResults.size()) *
                      kHealthyPartSeconds * aService.servers / kSecondsPerDay;
  std::cout << fmt::format("{:<10} {:<11} healthy: {} false suspicions in "
                           "{:.1f} server days ({:.1f} a server day)\n",
                           aService.deployment,
                           aService.service,
                           suspicions,
                           days,
                           suspicions / days);
}

} // namespace

int
main(int argc, char* argv[])
{
  gflags::SetUsageMessage(
    "Simulates how the owner of a service suspects faulty servers.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_runs < 1 || FLAGS_healthy_hours <= 0) {
    std::cerr << "--runs and --healthy_hours must be positive\n";
    return 2;
  }
  SetLogLevel(LogLevel::Warning);
  std::cout << "detection in ms, failed requests per episode of "
            << kEpisodeSeconds
            << " s; right of the bar: five consecutive failures\n"
            << fmt::format("{:<10} {:<11} {:<10} {:>6} {:>6} {:>9} | {:>6} "
                           "{:>6}\n",
                           "deployment",
                           "service",
                           "episode",
                           "p50",
                           "p99",
                           "failed",
                           "p50",
                           "p99");
  for (const ServiceKind& service : kServices) {
    for (const Episode episode : kEpisodes) {
      const auto results = RunAll(service, episode);
      if (episode == Episode::None) {
        PrintHealthy(service, results);
      } else {
        PrintEpisode(service, episode, results);
      }
    }
  }
  return 0;
}
