// Simulates the heartbeat protocol of whole fleets in memory and writes one CSV
// row per fleet size to standard output.

#include "ProtocolNetwork.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <string_view>
#include <vector>

DEFINE_string(hosts, "12,48,192,768,1300", "fleet sizes, separated by commas");
DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_int32(quiet_seconds, 20, "simulated seconds to measure without faults");

namespace filbertbeam {

namespace {

using namespace std::chrono_literals;

// The p99 is taken over all pairs of a killed host and an observer, so a larger
// fleet needs fewer kills for the same number of observations.
constexpr int kObservations = 4'000;
constexpr int kMinKills = 3;
constexpr int kMaxKills = 100;
constexpr int kLargeFleet = 500;

struct Row
{
  double bytesPerSecond = 0;
  double messagesPerSecond = 0;
  double cpuMilliseconds = 0;
  double bytesPerMember = 0;
  double detectionP50 = 0;
  double detectionP99 = 0;
  double detectionMax = 0;
  int kills = 0;
  int undetected = 0;
};

double
Percentile(const std::vector<double>& aSorted, double aFraction)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto index =
    static_cast<std::size_t>(aFraction * static_cast<double>(aSorted.size()));
  return aSorted[std::min(index, aSorted.size() - 1)];
}

// Kills aHost and adds to aTimes, in milliseconds, how long each other host
// takes to detect it.
void
MeasureDetection(ProtocolNetwork& aNetwork,
                 int aHost,
                 std::vector<double>& aTimes,
                 int& aUndetected)
{
  constexpr Duration kStep = 50ms;
  constexpr Duration kDetectionTimeout = 30s;
  aNetwork.Kill(aHost);
  std::vector<int> observers;
  for (int i = 0; i < aNetwork.HostCount(); ++i) {
    if (i != aHost) {
      observers.push_back(i);
    }
  }
  for (Duration elapsed = kStep;
       elapsed <= kDetectionTimeout && !observers.empty();
       elapsed += kStep) {
    aNetwork.Run(kStep);
    std::erase_if(observers, [&](int aObserver) {
      if (aNetwork.StateOf(aHost, aObserver) == HostState::Live) {
        return false;
      }
      aTimes.push_back(
        std::chrono::duration<double, std::milli>(elapsed).count());
      return true;
    });
  }
  aUndetected += static_cast<int>(observers.size());
}

Row
Measure(int aHosts)
{
  const bool isLarge = aHosts > kLargeFleet;
  ProtocolNetwork network({ .hosts = aHosts,
                            .regions = isLarge ? 6 : 1,
                            .domains = isLarge ? 15 : 3,
                            .seed = FLAGS_seed,
                            .isSealing = true });
  // All hosts start at the same time; their records need some time to reach all
  // others.
  network.Run(20s + aHosts * 40ms);

  Row row;
  network.ResetCounters();
  const std::clock_t start = std::clock();
  network.Run(std::chrono::seconds(FLAGS_quiet_seconds));
  const double hostSeconds = static_cast<double>(aHosts) * FLAGS_quiet_seconds;
  row.cpuMilliseconds = static_cast<double>(std::clock() - start) * 1000 /
                        CLOCKS_PER_SEC / hostSeconds;
  row.bytesPerSecond = static_cast<double>(network.SentBytes()) / hostSeconds;
  row.messagesPerSecond =
    static_cast<double>(network.SentMessages()) / hostSeconds;
  row.bytesPerMember =
    static_cast<double>(network.At(0).MemoryBytes()) / aHosts;

  std::vector<double> times;
  row.kills = std::clamp(kObservations / aHosts, kMinKills, kMaxKills);
  for (int i = 0; i < row.kills; ++i) {
    const int host = (1 + i * 7) % aHosts;
    // Varies the phase of the heartbeat interval at which the host is killed.
    network.Run(std::chrono::milliseconds(i * 137 % 500));
    MeasureDetection(network, host, times, row.undetected);
    network.Restart(host);
    network.Run(12s);
  }
  std::sort(times.begin(), times.end());
  row.detectionP50 = Percentile(times, 0.5);
  row.detectionP99 = Percentile(times, 0.99);
  row.detectionMax = times.empty() ? 0 : times.back();
  return row;
}

} // namespace

} // namespace filbertbeam

int
main(int argc, char* argv[])
{
  gflags::SetUsageMessage("Measures the heartbeat protocol in memory.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);

  std::vector<int> sizes;
  std::string_view rest = FLAGS_hosts;
  while (!rest.empty()) {
    const std::string_view item = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(item.size() + 1, rest.size()));
    int size = 0;
    const auto result =
      std::from_chars(item.data(), item.data() + item.size(), size);
    if (result.ec != std::errc() || result.ptr != item.data() + item.size() ||
        size < 2 || size > 5000) {
      fmt::print(stderr, "--hosts: {} is not a number from 2 to 5000\n", item);
      return 1;
    }
    sizes.push_back(size);
  }

  fmt::print("hosts,bytes_per_second_per_host,messages_per_second_per_host,"
             "cpu_ms_per_second_per_host,memory_bytes_per_member,kills,"
             "detection_p50_ms,detection_p99_ms,detection_max_ms,"
             "undetected\n");
  for (const int size : sizes) {
    const filbertbeam::Row row = filbertbeam::Measure(size);
    fmt::print("{},{:.0f},{:.2f},{:.3f},{:.0f},{},{:.0f},{:.0f},{:.0f},{}\n",
               size,
               row.bytesPerSecond,
               row.messagesPerSecond,
               row.cpuMilliseconds,
               row.bytesPerMember,
               row.kills,
               row.detectionP50,
               row.detectionP99,
               row.detectionMax,
               row.undetected);
    std::fflush(stdout);
  }
  return 0;
}
