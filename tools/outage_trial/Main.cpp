// Measures how two outages of a small fleet affect callers: half of the backend
// servers fail, and the owner of a shard is killed.

#include "Fleet.h"

#include <gflags/gflags.h>

#include <QCoreApplication>

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <string_view>

DEFINE_int32(seconds, 10, "length of each phase in seconds");
DEFINE_int32(rate, 100, "requests per second");

using namespace filbertbeam;
using namespace filbertbeam::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct TimedCall
{
  // Milliseconds from the start of the phase.
  qint64 startedAt = 0;
  std::shared_ptr<HttpCall> call;
};

using TimedCalls = std::vector<TimedCall>;

bool
IsServed(const HttpCall& aCall)
{
  return aCall.Status() == 200 && aCall.IsComplete();
}

// Sends GET requests at a constant rate to the hosts in turn.
TimedCalls
RunPhase(Fleet& aFleet, const std::vector<const Fleet::Host*>& aHosts)
{
  TimedCalls calls;
  Calls all;
  QElapsedTimer timer;
  timer.start();
  const int requests = FLAGS_seconds * FLAGS_rate;
  for (int i = 0; i < requests; ++i) {
    while (timer.elapsed() * FLAGS_rate < i * 1'000LL) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
    }
    const Fleet::Host& host =
      *aHosts[static_cast<std::size_t>(i) % aHosts.size()];
    const auto call = aFleet.Request(
      host, "GET", "/work/1", {}, { { "Request-Timeout-Ms", "5000" } });
    calls.push_back({ timer.elapsed(), call });
    all.push_back(call);
  }
  WaitForAll(all, seconds(20));
  return calls;
}

int
TotalRuns(Fleet& aFleet)
{
  int runs = 0;
  for (const Fleet::Backend& backend : aFleet.Backends()) {
    runs += aFleet.TotalRuns(backend);
  }
  return runs;
}

int
TotalSheds(Fleet& aFleet)
{
  int sheds = 0;
  for (const Fleet::Backend& backend : aFleet.Backends()) {
    sheds +=
      aFleet.ControlResponseJson(backend.endpoint, "/control/runs")["sheds"]
        .toInt();
  }
  return sheds;
}

void
Print(std::string_view aName, const TimedCalls& aCalls, int aRuns, int aSheds)
{
  int failed = 0;
  qint64 lastFailure = -1;
  for (const TimedCall& timed : aCalls) {
    if (!IsServed(*timed.call)) {
      ++failed;
      lastFailure = std::max(lastFailure, timed.startedAt);
    }
  }
  fmt::print("{:<34} requests={} failed={} last failure started at {} ms "
             "runs/request={:.3f} sheds={}\n",
             aName,
             aCalls.size(),
             failed,
             lastFailure,
             static_cast<double>(aRuns) / static_cast<double>(aCalls.size()),
             aSheds);
}

bool
MeasureHalfOutage(FleetPlan aPlan)
{
  aPlan.backendServersPerDomain = 4;
  aPlan.requestsPerSecond = 1'000;
  Fleet fleet(aPlan);
  if (!fleet.Start()) {
    return false;
  }
  std::vector<const Fleet::Host*> hosts;
  for (const Fleet::Host& host : fleet.Hosts()) {
    hosts.push_back(&host);
  }
  for (const char* mode : { "healthy", "close" }) {
    for (std::size_t i = 0; i < fleet.Backends().size(); i += 2) {
      fleet.SetMode(fleet.Backends()[i], mode);
    }
    const int runs = TotalRuns(fleet);
    const int sheds = TotalSheds(fleet);
    const TimedCalls calls = RunPhase(fleet, hosts);
    Print(fmt::format("{}: half {}", aPlan.service, mode),
          calls,
          TotalRuns(fleet) - runs,
          TotalSheds(fleet) - sheds);
  }
  return true;
}

bool
MeasureKilledOwner(FleetPlan aPlan)
{
  aPlan.hostsPerDomain = 2;
  aPlan.backendServersPerDomain = 2;
  aPlan.requestsPerSecond = 1'000;
  Fleet fleet(aPlan);
  if (!fleet.Start()) {
    return false;
  }
  // Either host of the first failure domain may be the owner. Kills the one
  // that is not the entry host, and one host of another failure domain.
  const std::vector<const Fleet::Host*> entry = { &fleet.Hosts()[0] };
  const int runs = TotalRuns(fleet);
  const int sheds = TotalSheds(fleet);
  fleet.Hosts()[1].process->Kill();
  fleet.Hosts()[2].process->Kill();
  const TimedCalls calls = RunPhase(fleet, entry);
  Print(fmt::format("{}: two of six hosts killed", aPlan.service),
        calls,
        TotalRuns(fleet) - runs,
        TotalSheds(fleet) - sheds);
  return true;
}

} // namespace

int
main(int argc, char* argv[])
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  QCoreApplication application(argc, argv);
  for (const FleetPlan& plan :
       { PermitServicePlan(), CommissionServicePlan() }) {
    if (!MeasureHalfOutage(plan) || !MeasureKilledOwner(plan)) {
      fmt::print(stderr, "a fleet did not start\n");
      return 1;
    }
  }
  return 0;
}
