#include "DetectionTrial.h"
#include "TrialSummary.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>

DEFINE_int32(runs, 200, "Runs per shard, load and fault.");
DEFINE_double(healthy_hours,
              24,
              "Simulated hours of the healthy run per shard and load.");
DEFINE_double(floor, 0.5, "Floor of every service.");
DEFINE_uint64(seed, 1, "Seed of the first run; later runs count up from it.");
DEFINE_int32(jobs, 8, "Number of threads; the results do not depend on it.");
DEFINE_string(csv, "", "CSV file for the results; empty writes none.");
DEFINE_string(
  faults,
  "",
  "Simulates only these faults, separated by commas; empty means all.");
DEFINE_string(deployment,
              "",
              "Simulates only this deployment, authority or saengthong.");

namespace {

using namespace filbertbeam;

// Time before the fault, in which the detection collects samples of all
// servers, and time that is simulated after it.
constexpr double kWarmUpSeconds = 30;
constexpr double kHorizonSeconds = 60;
// The simulation without faults is divided into parts of this length, which run
// in parallel.
constexpr double kHealthyPartSeconds = 3600;
constexpr double kSecondsPerDay = 86400;

struct ShardKind
{
  const char* deployment;
  const char* service;
  DetectionPreference preference;
  int servers;
  int slots;
};

// The largest shard of each service that spans three failure domains.
constexpr ShardKind kShardKinds[] = {
  { "authority", "registry", DetectionPreference::Detection, 4, 4 },
  { "authority", "permits", DetectionPreference::Detection, 7, 4 },
  { "authority", "library", DetectionPreference::Detection, 2, 4 },
  { "saengthong", "catalogue", DetectionPreference::Precision, 4, 2 },
  { "saengthong", "commissions", DetectionPreference::Precision, 7, 2 },
  { "saengthong", "wholesale", DetectionPreference::Precision, 2, 2 },
};

constexpr FaultKind kFaults[] = {
  FaultKind::SlowFiveTimes,
  FaultKind::HalfSpeed,
  FaultKind::Errors,
  FaultKind::ErrorsForOneCustomer,
  FaultKind::Intermittent,
  FaultKind::Flapping,
  FaultKind::BlackHole,
  FaultKind::ColdStart,
  FaultKind::Overload,
  FaultKind::WholeShardSlow,
  FaultKind::WholeShardErrors,
  FaultKind::SlowCallers,
  FaultKind::None,
};

struct Task
{
  std::size_t row = 0;
  DetectionTrial::Setup setup;
  DetectionTrial::Detection schedulerDetection;
  DetectionTrial::Detection baseline;
  int affected = 0;
  std::string lastReason;
};

bool
IsChosen(FaultKind aFault)
{
  return FLAGS_faults.empty() ||
         fmt::format(",{},", FLAGS_faults)
             .find(fmt::format(",{},", FaultName(aFault))) != std::string::npos;
}

void
AddTasks(std::size_t aRow, const TrialRow& aTemplate, std::vector<Task>& aTasks)
{
  const bool isHealthy = aTemplate.setup.fault == FaultKind::None;
  const int runs =
    isHealthy
      ? static_cast<int>(FLAGS_healthy_hours * 3600 / kHealthyPartSeconds)
      : FLAGS_runs;
  for (int i = 0; i < runs; ++i) {
    Task task;
    task.row = aRow;
    task.setup = aTemplate.setup;
    task.setup.seed = FLAGS_seed + static_cast<std::uint64_t>(i);
    // Varies the start of the fault relative to the period of the flapping and
    // of the detector's reference.
    task.setup.faultAtSeconds = kWarmUpSeconds + 0.05 * i;
    task.setup.seconds = isHealthy
                           ? kHealthyPartSeconds
                           : task.setup.faultAtSeconds + kHorizonSeconds;
    aTasks.push_back(task);
  }
}

void
RunTask(Task& aTask)
{
  const DetectionTrial trial = DetectionTrial::Run(aTask.setup);
  aTask.schedulerDetection = trial.SchedulerDetection();
  aTask.baseline = trial.Baseline();
  aTask.affected = trial.Affected();
  aTask.lastReason = trial.LastReason();
  if (aTask.setup.fault == FaultKind::None) {
    return;
  }
  // After the scheduler has ejected the server, the baseline observes no
  // further requests to it. The baseline is therefore taken from the same run
  // without ejections.
  DetectionTrial::Setup setup = aTask.setup;
  setup.floor = 1;
  aTask.baseline = DetectionTrial::Run(setup).Baseline();
}

} // namespace

int
main(int argc, char* argv[])
{
  gflags::SetUsageMessage(
    "Simulates the detection of faulty servers in a model of one shard.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<TrialRow> rows;
  std::vector<Task> tasks;
  for (const ShardKind& kind : kShardKinds) {
    if (!FLAGS_deployment.empty() && FLAGS_deployment != kind.deployment) {
      continue;
    }
    for (const double load : { 0.5, 0.7 }) {
      for (const FaultKind fault : kFaults) {
        if (!IsChosen(fault)) {
          continue;
        }
        TrialRow row;
        row.deployment = kind.deployment;
        row.service = kind.service;
        row.setup.preference = kind.preference;
        row.setup.servers = kind.servers;
        row.setup.slots = kind.slots;
        row.setup.load = load;
        row.setup.floor = FLAGS_floor;
        row.setup.fault = fault;
        AddTasks(rows.size(), row, tasks);
        rows.push_back(row);
      }
    }
  }
  std::atomic<std::size_t> next = 0;
  std::vector<std::jthread> workers;
  for (int i = 0; i < std::max(FLAGS_jobs, 1); ++i) {
    workers.emplace_back([&tasks, &next] {
      for (std::size_t task = next++; task < tasks.size(); task = next++) {
        RunTask(tasks[task]);
      }
    });
  }
  workers.clear();
  double healthyDays[2] = {};
  int healthyFalseEjections[2] = {};
  for (const Task& task : tasks) {
    TrialRow& row = rows[task.row];
    row.schedulerDetection.Add(task.schedulerDetection);
    row.baseline.Add(task.baseline);
    row.affected += task.affected;
    row.serverDays += task.setup.seconds / kSecondsPerDay * task.setup.servers;
    if (task.schedulerDetection.falseEjections > 0) {
      std::cerr << fmt::format("false ejection: {} {} load {} {} seed {}: {}\n",
                               row.deployment,
                               row.service,
                               row.setup.load,
                               FaultName(row.setup.fault),
                               task.setup.seed,
                               task.lastReason);
    }
    if (task.setup.fault == FaultKind::None) {
      const int index =
        task.setup.preference == DetectionPreference::Detection ? 0 : 1;
      healthyDays[index] +=
        task.setup.seconds / kSecondsPerDay * task.setup.servers;
      healthyFalseEjections[index] += task.schedulerDetection.falseEjections;
    }
  }
  for (TrialRow& row : rows) {
    row.affected /= std::max(row.schedulerDetection.Runs(), 1);
  }
  std::cout << "left of the bar: this scheduler; right: baseline of five "
               "consecutive failures, same seeds\n"
            << FormatTable(rows);
  for (int index = 0; index < 2; ++index) {
    if (healthyDays[index] > 0) {
      std::cout << fmt::format(
        "\nhealthy, {}: {} false ejections in {:.1f} server days ({:.3f} per "
        "server day)",
        index == 0 ? "prefer detection" : "prefer precision",
        healthyFalseEjections[index],
        healthyDays[index],
        healthyFalseEjections[index] / healthyDays[index]);
    }
  }
  std::cout << "\n";
  if (!FLAGS_csv.empty()) {
    std::ofstream(FLAGS_csv) << FormatCsv(rows);
  }
  return 0;
}
