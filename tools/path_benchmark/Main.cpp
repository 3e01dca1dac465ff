// Compares the latency of requests through a small fleet with that of direct
// calls to the same backend servers in the same run.

#include "Fleet.h"

#include "base/SeededRandom.h"

#include <gflags/gflags.h>

#include <QCoreApplication>
#include <QRegularExpression>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

DEFINE_int32(requests, 2'000, "requests per phase");
DEFINE_double(load, 0.7, "share of the slots in use in the load phase");
DEFINE_int32(service_time_ms,
             20,
             "median service time of backend servers in milliseconds");
DEFINE_uint64(seed, 1, "seed of the random arrival times");

using namespace filbertbeam;
using namespace filbertbeam::testing;
using std::chrono::milliseconds;

namespace {

// Standard deviation of the logarithm of the simulated service time. The mean
// is exp(sigma^2 / 2) times the median.
constexpr double kServiceSigma = 0.3;

struct Phase
{
  std::vector<double> milliseconds;
  int failed = 0;
  double requestsPerSecond = 0;
};

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return std::nan("");
  }
  std::ranges::sort(aValues);
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(std::lround(aQuantile * last))];
}

HttpRequestHead
CallerHead()
{
  HttpRequestHead head;
  head.method = "GET";
  head.target = "/work/1";
  head.fields.Set("X-Api-Key", "key-1");
  return head;
}

void
Count(Phase& aPhase, const HttpCall& aCall)
{
  if (aCall.Status() == 200 && aCall.IsComplete()) {
    aPhase.milliseconds.push_back(aCall.Milliseconds());
  } else {
    ++aPhase.failed;
  }
}

// Sends one request at a time.
Phase
RunSequential(Fleet& aFleet, const std::vector<Endpoint>& aServers)
{
  Phase phase;
  QElapsedTimer timer;
  timer.start();
  for (int i = 0; i < FLAGS_requests; ++i) {
    const auto call =
      HttpCall::Start(aFleet.Client(),
                      aServers[static_cast<std::size_t>(i) % aServers.size()],
                      CallerHead(),
                      {},
                      true);
    WaitForAll({ call }, milliseconds(30'000));
    Count(phase, *call);
  }
  phase.requestsPerSecond =
    FLAGS_requests / (static_cast<double>(timer.elapsed()) / 1e3);
  return phase;
}

// Sends requests with Poisson arrivals that do not wait for responses.
Phase
RunOpenLoop(Fleet& aFleet, const std::vector<Endpoint>& aServers, double aRate)
{
  Phase phase;
  SeededRandom random(FLAGS_seed);
  Calls calls;
  QElapsedTimer timer;
  timer.start();
  double nextMicroseconds = 0;
  for (int i = 0; i < FLAGS_requests; ++i) {
    nextMicroseconds += -std::log(1 - random.Uniform()) / aRate * 1e6;
    while (static_cast<double>(timer.nsecsElapsed()) / 1e3 < nextMicroseconds) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
    }
    calls.push_back(HttpCall::Start(aFleet.Client(),
                                    aServers[random.Below(aServers.size())],
                                    CallerHead(),
                                    {},
                                    true));
  }
  WaitForAll(calls, milliseconds(60'000));
  phase.requestsPerSecond =
    FLAGS_requests / (static_cast<double>(timer.elapsed()) / 1e3);
  for (const auto& call : calls) {
    Count(phase, *call);
  }
  return phase;
}

void
Print(const char* aName, const Phase& aPhase)
{
  fmt::print("{:<26} n={:<6} failed={:<4} requests/s={:<8.0f} p50={:.2f} ms "
             "p99={:.2f} ms\n",
             aName,
             aPhase.milliseconds.size(),
             aPhase.failed,
             aPhase.requestsPerSecond,
             Quantile(aPhase.milliseconds, 0.5),
             Quantile(aPhase.milliseconds, 0.99));
}

// Prints quantiles, in milliseconds, of the added latency that the hosts
// recorded.
void
PrintAdded(Fleet& aFleet)
{
  for (const Fleet::Host& host : aFleet.Hosts()) {
    const auto call = aFleet.ControlRequest(host.admin, "GET", "/metrics");
    const QString text = QString::fromStdString(call->Body());
    static const QRegularExpression bucket(
      "added_latency_seconds_bucket\\{le=\"([^\"]+)\"\\} (\\d+)");
    std::vector<std::pair<double, double>> buckets;
    auto matches = bucket.globalMatch(text);
    while (matches.hasNext()) {
      const auto match = matches.next();
      const QString edge = match.captured(1);
      buckets.emplace_back(edge == "+Inf" ? HUGE_VAL : edge.toDouble() * 1e3,
                           match.captured(2).toDouble());
    }
    if (buckets.empty()) {
      continue;
    }
    const auto quantile = [&](double aQuantile) {
      for (const auto& [edge, count] : buckets) {
        if (count >= aQuantile * buckets.back().second) {
          return edge;
        }
      }
      return HUGE_VAL;
    };
    fmt::print("{:<26} n={:<6.0f} added by the fleet: p50<={:.2f} ms "
               "p99<={:.2f} ms\n",
               host.name,
               buckets.back().second,
               quantile(0.5),
               quantile(0.99));
  }
}

int
Measure(FleetPlan aPlan)
{
  aPlan.backendServersPerDomain = 4;
  aPlan.requestsPerSecond = 100'000;
  aPlan.backendFlags = {
    fmt::format("--service_time_ms={}", FLAGS_service_time_ms),
    fmt::format("--service_time_sigma={}", kServiceSigma)
  };
  Fleet fleet(aPlan);
  if (!fleet.Start()) {
    fmt::print(stderr, "the fleet did not start\n");
    return 1;
  }
  std::vector<Endpoint> hosts;
  for (const Fleet::Host& host : fleet.Hosts()) {
    hosts.push_back(host.caller);
  }
  std::vector<Endpoint> servers;
  for (const Fleet::Backend& backend : fleet.Backends()) {
    servers.push_back(backend.endpoint);
  }
  const double slots =
    static_cast<double>(servers.size()) * static_cast<double>(aPlan.slots);
  const double meanSeconds =
    FLAGS_service_time_ms / 1e3 * std::exp(kServiceSigma * kServiceSigma / 2);
  fmt::print("== {}: {} hosts, {} backend servers of {} slots\n",
             aPlan.service,
             hosts.size(),
             servers.size(),
             aPlan.slots);
  const Phase direct = RunSequential(fleet, servers);
  const Phase idle = RunSequential(fleet, hosts);
  Print("direct, one at a time", direct);
  Print("path, one at a time", idle);
  fmt::print(
    "{:<26} p50={:+.2f} ms p99={:+.2f} ms\n",
    "added when idle",
    Quantile(idle.milliseconds, 0.5) - Quantile(direct.milliseconds, 0.5),
    Quantile(idle.milliseconds, 0.99) - Quantile(direct.milliseconds, 0.99));
  PrintAdded(fleet);
  const Phase loaded =
    RunOpenLoop(fleet, hosts, FLAGS_load * slots / meanSeconds);
  Print(fmt::format("path, {:.0f}% of slots", FLAGS_load * 100).c_str(),
        loaded);
  fmt::print(
    "{:<26} p50={:+.2f} ms p99={:+.2f} ms (target p99 +6.6 ms)\n",
    "added under load",
    Quantile(loaded.milliseconds, 0.5) - Quantile(direct.milliseconds, 0.5),
    Quantile(loaded.milliseconds, 0.99) - Quantile(direct.milliseconds, 0.99));
  PrintAdded(fleet);
  return 0;
}

} // namespace

int
main(int argc, char* argv[])
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  QCoreApplication application(argc, argv);
  return Measure(PermitServicePlan()) + Measure(CommissionServicePlan());
}
