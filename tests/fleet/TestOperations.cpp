#include "Fleet.h"

#include <QElapsedTimer>
#include <QJsonArray>

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The requirement is "a few seconds"; the target for configuration is 19 s.
constexpr seconds kConfigurationBound{ 19 };
constexpr seconds kLeavingBound{ 5 };

bool
IsInForceEverywhere(Fleet& aFleet, int aRevision)
{
  for (const Fleet::Host& host : aFleet.Hosts()) {
    if (aFleet.Status(host)["revision"].toInt() < aRevision) {
      return false;
    }
  }
  return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Operations)

BOOST_AUTO_TEST_SUITE(AConfiguration)

// Guards against a change that reaches only some hosts, or reaches them late.
BOOST_AUTO_TEST_CASE(IsInForceEverywhereWithinSeconds)
{
  FleetPlan plan = PermitServicePlan();
  plan.hostsPerDomain = 3;
  Fleet fleet(plan);
  BOOST_REQUIRE(fleet.Start());
  for (int revision = 2; revision <= 4; ++revision) {
    fleet.Backends()[0].isLeaving = revision % 2 == 0;
    fleet.Apply();
    QElapsedTimer timer;
    timer.start();
    while (!IsInForceEverywhere(fleet, revision) &&
           timer.elapsed() < milliseconds(kConfigurationBound).count()) {
      RunFor(milliseconds(50));
    }
    BOOST_TEST(IsInForceEverywhere(fleet, revision));
    BOOST_TEST_MESSAGE("in force on 9 hosts after " << timer.elapsed()
                                                    << " ms");
  }
}

// Guards against a host that has no configuration, or an older one, when it
// restarts while the store is unavailable.
BOOST_AUTO_TEST_CASE(ReachesAHostThatStartsWhileTheStoreIsUnavailable)
{
  Fleet fleet(PermitServicePlan());
  BOOST_REQUIRE(fleet.Start());
  fleet.Apply();
  RunFor(seconds(3));
  const int revision = fleet.Status(fleet.Hosts()[1])["revision"].toInt();
  fleet.SetPlatformFault("away=1");
  fleet.Hosts()[0].process->Kill();
  BOOST_REQUIRE(fleet.Hosts()[0].process->Start());
  QElapsedTimer timer;
  timer.start();
  while (fleet.Status(fleet.Hosts()[0])["revision"].toInt() < revision &&
         timer.elapsed() < milliseconds(kConfigurationBound).count()) {
    RunFor(milliseconds(50));
  }
  BOOST_TEST(fleet.Status(fleet.Hosts()[0])["revision"].toInt() == revision);
  BOOST_TEST_MESSAGE("in force on the restarted host after " << timer.elapsed()
                                                             << " ms");
  const auto call = fleet.Request(fleet.Hosts()[0], "GET", "/work/1");
  BOOST_TEST(WaitForAll({ call }, seconds(10)));
  BOOST_TEST(call->Status() == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ABackendServerMarkedAsLeaving)

// Guards against new requests to a backend server that operators marked as
// leaving.
BOOST_AUTO_TEST_CASE(GetsNoNewRequestsAfterAFewSeconds)
{
  Fleet fleet(PermitServicePlan());
  BOOST_REQUIRE(fleet.Start());
  fleet.Backends()[0].isLeaving = true;
  fleet.Apply();
  RunFor(kLeavingBound);
  const int before = fleet.TotalRuns(fleet.Backends()[0]);
  Calls calls;
  for (std::size_t i = 0; i < 60; ++i) {
    calls.push_back(fleet.Request(fleet.Hosts()[i % 3], "GET", "/work/1"));
    RunFor(milliseconds(20));
  }
  BOOST_REQUIRE(WaitForAll(calls, seconds(20)));
  for (const auto& call : calls) {
    BOOST_TEST(call->Status() == 200);
  }
  BOOST_TEST(fleet.TotalRuns(fleet.Backends()[0]) == before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(APlannedStop)

// Guards against requests that a rolling restart aborts, refuses or loses.
BOOST_AUTO_TEST_CASE(OfEveryHostInTurnAbortsNoRequest)
{
  FleetPlan plan = PermitServicePlan();
  plan.hostsPerDomain = 2;
  plan.backendFlags = { "--service_time_ms=30" };
  Fleet fleet(plan);
  BOOST_REQUIRE(fleet.Start());
  Calls calls;
  std::vector<const Fleet::Host*> all;
  for (const Fleet::Host& host : fleet.Hosts()) {
    all.push_back(&host);
  }
  for (Fleet::Host& stopping : fleet.Hosts()) {
    // A large response is in progress while its host stops.
    calls.push_back(fleet.Request(stopping, "GET", "/bytes/8000000"));
    RunFor(milliseconds(20));
    stopping.process->Terminate();
    QElapsedTimer timer;
    timer.start();
    std::size_t next = 0;
    while (stopping.process->IsRunning() && timer.elapsed() < 30'000) {
      // A load balancer sends no requests to a host that is not ready.
      const Fleet::Host& host = fleet.Hosts()[next++ % fleet.Hosts().size()];
      if (&host != &stopping) {
        calls.push_back(fleet.Request(host, "GET", "/work/1"));
      }
      RunFor(milliseconds(20));
    }
    BOOST_TEST(!stopping.process->IsRunning());
    BOOST_TEST(stopping.process->ExitCode() == 0);
    BOOST_REQUIRE(stopping.process->Start());
    BOOST_TEST(fleet.WaitUntilReady(all, 6, seconds(20)));
  }
  BOOST_REQUIRE(WaitForAll(calls, seconds(30)));
  int failed = 0;
  for (const auto& call : calls) {
    if (call->Status() != 200 || !call->IsComplete()) {
      ++failed;
      BOOST_TEST_MESSAGE("failed: " << call->Status() << " " << call->Title()
                                    << " " << call->FailureReason());
    }
  }
  BOOST_TEST_MESSAGE(calls.size() << " requests, " << failed << " failed");
  BOOST_TEST(failed == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AGrayBackendServer)

// Guards against requests that are still assigned to a backend server which
// accepts requests and never responds.
BOOST_AUTO_TEST_CASE(IsEjectedWithinFiveSeconds)
{
  FleetPlan plan = PermitServicePlan();
  plan.backendServersPerDomain = 4;
  Fleet fleet(plan);
  BOOST_REQUIRE(fleet.Start());
  fleet.SetMode(fleet.Backends()[0], "black-hole");
  Calls calls;
  QElapsedTimer timer;
  timer.start();
  while (timer.elapsed() < 10'000) {
    calls.push_back(fleet.Request(fleet.Hosts()[calls.size() % 3],
                                  "GET",
                                  "/work/1",
                                  {},
                                  { { "Request-Timeout-Ms", "2000" } }));
    RunFor(milliseconds(10));
  }
  BOOST_REQUIRE(WaitForAll(calls, seconds(20)));
  int late = 0;
  for (std::size_t i = calls.size() / 2; i < calls.size(); ++i) {
    late += calls[i]->Status() == 200 ? 0 : 1;
  }
  int early = 0;
  for (std::size_t i = 0; i < calls.size() / 2; ++i) {
    early += calls[i]->Status() == 200 ? 0 : 1;
  }
  BOOST_TEST_MESSAGE(early << " failed in the first 5 s, " << late
                           << " in the next 5 s, of " << calls.size());
  BOOST_TEST(late == 0);
}

// Guards against trial requests to ejected backend servers whose failure
// reaches the caller.
BOOST_AUTO_TEST_CASE(IsTriedAgainWithoutFailedRequests)
{
  FleetPlan plan = PermitServicePlan();
  plan.backendServersPerDomain = 4;
  Fleet fleet(plan);
  BOOST_REQUIRE(fleet.Start());
  for (std::size_t i = 0; i < fleet.Backends().size(); i += 2) {
    fleet.SetMode(fleet.Backends()[i], "close");
  }
  Calls calls;
  QElapsedTimer timer;
  timer.start();
  // The servers are ejected after some requests and tried again from 5 s on.
  while (timer.elapsed() < 12'000) {
    calls.push_back(
      fleet.Request(fleet.Hosts()[calls.size() % 3], "GET", "/work/1"));
    RunFor(milliseconds(10));
  }
  BOOST_REQUIRE(WaitForAll(calls, seconds(20)));
  int late = 0;
  for (std::size_t i = calls.size() / 3; i < calls.size(); ++i) {
    late += calls[i]->Status() == 200 ? 0 : 1;
  }
  BOOST_TEST_MESSAGE(late << " failed in the last 8 s, of " << calls.size());
  BOOST_TEST(late == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
