#include "ContentionTrial.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <numeric>

DEFINE_double(seconds, 300, "Simulated seconds per run.");
DEFINE_uint64(seed, 1, "Seed of the random numbers of the model.");
DEFINE_string(csv, "", "CSV file for the results; empty writes none.");

int
main(int argc, char* argv[])
{
  using namespace filbertbeam;
  gflags::SetUsageMessage(
    "Simulates one heavy customer at 10 times its promised rate and 50 light "
    "customers at theirs.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::string csv =
    "scheduler,load,promise_per_s,heavy_served_of_promise,"
    "light_served_of_offered_mean,light_served_of_offered_min,"
    "in_contract_offered,in_contract_refused,in_contract_wait_p50_ms,"
    "in_contract_wait_p99_ms,excess_offered,excess_refused,"
    "excess_wait_p50_ms,excess_wait_p99_ms,utilization,"
    "spare_used\n";
  std::cout
    << "shard of 7 servers with 4 slots; served requests: heavy in parts "
       "of its promise (it offers 10), light in parts of what each "
       "offered\n"
    << fmt::format("{:<6} {:>5} {:>6} {:>10} {:>9} {:>7} {:>7} {:>7} "
                   "{:>7} {:>7} {:>7} {:>7} {:>7}\n",
                   "",
                   "load",
                   "heavy",
                   "light mean",
                   "light min",
                   "in ref.",
                   "in p50",
                   "in p99",
                   "ex ref.",
                   "ex p50",
                   "ex p99",
                   "in use",
                   "spare");
  for (const double load : { 0.5, 0.9, 1.3 }) {
    for (const bool isFifo : { false, true }) {
      ContentionTrial::Setup setup;
      setup.load = load;
      setup.seconds = FLAGS_seconds;
      setup.seed = FLAGS_seed;
      setup.isFifo = isFifo;
      const ContentionTrial::Result result = ContentionTrial::Run(setup);
      std::vector<double> light;
      for (std::size_t i = 1; i < result.servedShares.size(); ++i) {
        light.push_back(result.servedShares[i] / result.offeredShares[i]);
      }
      const double mean = std::accumulate(light.begin(), light.end(), 0.0) /
                          static_cast<double>(light.size());
      const double minimum = *std::min_element(light.begin(), light.end());
      const auto& in = result.inContract;
      const auto& excess = result.excess;
      const auto refusedShare =
        [](const ContentionTrial::ClassStatistics& aStatistics) {
          return aStatistics.offered == 0
                   ? 0
                   : static_cast<double>(aStatistics.refused) /
                       aStatistics.offered;
        };
      const char* const name = isFifo ? "fifo" : "fair";
      std::cout << fmt::format(
        "{:<6} {:>4.0f}% {:>6.2f} {:>9.1f}% {:>8.1f}% {:>6.2f}% {:>4.0f} ms "
        "{:>4.0f} ms {:>6.2f}% {:>4.0f} ms {:>4.0f} ms {:>6.1f}% {:>6.1f}%\n",
        name,
        100 * load,
        result.servedShares[0],
        100 * mean,
        100 * minimum,
        100 * refusedShare(in),
        1000 * in.WaitQuantile(0.5),
        1000 * in.WaitQuantile(0.99),
        100 * refusedShare(excess),
        1000 * excess.WaitQuantile(0.5),
        1000 * excess.WaitQuantile(0.99),
        100 * result.utilization,
        100 * result.SpareUsed());
      csv += fmt::format(
        "{},{},{:.3f},{:.3f},{:.4f},{:.4f},{},{},{:.2f},{:.2f},{},{},{:.2f},"
        "{:.2f},{:.4f},{:.4f}\n",
        name,
        load,
        result.promise,
        result.servedShares[0],
        mean,
        minimum,
        in.offered,
        in.refused,
        1000 * in.WaitQuantile(0.5),
        1000 * in.WaitQuantile(0.99),
        excess.offered,
        excess.refused,
        1000 * excess.WaitQuantile(0.5),
        1000 * excess.WaitQuantile(0.99),
        result.utilization,
        result.SpareUsed());
    }
  }
  if (!FLAGS_csv.empty()) {
    std::ofstream(FLAGS_csv) << csv;
  }
  return 0;
}
