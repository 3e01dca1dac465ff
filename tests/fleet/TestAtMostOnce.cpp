#include "Fleet.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::shared_ptr<HttpCall>
Deposit(Fleet& aFleet, std::size_t aHost, const std::string& aKey)
{
  return aFleet.Request(aFleet.Hosts()[aHost],
                        "POST",
                        "/work/deposit",
                        "{\"amount\":1}",
                        { { "Idempotency-Key", aKey } });
}

} // namespace

BOOST_AUTO_TEST_SUITE(ANonIdempotentRequest)

// Guards against a second run after the backend server closed the connection
// without a response, whether the fleet retries or the caller sends the request
// again to another host.
BOOST_AUTO_TEST_CASE(RunsOnceWhenItsResponseIsLost)
{
  Fleet fleet(CommissionServicePlan());
  BOOST_REQUIRE(fleet.Start());
  for (const Fleet::Backend& backend : fleet.Backends()) {
    fleet.SetMode(backend, "close");
  }
  const auto first = Deposit(fleet, 0, "temple-1");
  BOOST_REQUIRE(WaitForAll({ first }, seconds(10)));
  BOOST_TEST(first->Status() == 502);
  BOOST_TEST(first->Outcome() == "unknown");
  for (const Fleet::Backend& backend : fleet.Backends()) {
    fleet.SetMode(backend, "healthy");
  }
  for (std::size_t host = 0; host < 3; ++host) {
    const auto again = Deposit(fleet, host, "temple-1");
    BOOST_REQUIRE(WaitForAll({ again }, seconds(10)));
    BOOST_TEST(again->Status() == 409);
    BOOST_TEST(again->Outcome() == "unknown");
  }
  BOOST_TEST(fleet.RunsOf("keys", "temple-1") == 1);
}

// Guards against two runs when a request is sent through several hosts
// concurrently.
BOOST_AUTO_TEST_CASE(RunsOnceWhenSentToAllHostsConcurrently)
{
  Fleet fleet(CommissionServicePlan());
  BOOST_REQUIRE(fleet.Start());
  for (int round = 0; round < 10; ++round) {
    const std::string key = "crate-" + std::to_string(round);
    Calls calls;
    for (std::size_t i = 0; i < 12; ++i) {
      calls.push_back(Deposit(fleet, i % 3, key));
    }
    BOOST_REQUIRE(WaitForAll(calls, seconds(20)));
    int served = 0;
    for (const auto& call : calls) {
      served += call->Status() == 200 ? 1 : 0;
      BOOST_TEST((call->Status() == 200 || call->Status() == 409));
    }
    BOOST_TEST(served >= 1);
    BOOST_TEST(fleet.RunsOf("keys", key) == 1);
    const auto later = Deposit(fleet, 1, key);
    BOOST_REQUIRE(WaitForAll({ later }, seconds(10)));
    BOOST_TEST(later->Status() == 200);
    BOOST_TEST(later->Field("Idempotency-Replayed") == "true");
  }
}

// Guards against a run without a claim while the store is unavailable, and
// against the outcome "not-run" for a request that did run.
BOOST_AUTO_TEST_CASE(IsRefusedWhileTheStoreIsUnavailableAndOthersAreServed)
{
  Fleet fleet(PermitServicePlan());
  BOOST_REQUIRE(fleet.Start());
  fleet.SetPlatformFault("away=1");
  const auto keyed = Deposit(fleet, 0, "permit-7");
  const auto lookup = fleet.Request(fleet.Hosts()[0], "GET", "/work/1");
  const auto unkeyed =
    fleet.Request(fleet.Hosts()[1], "POST", "/work/2", "recall");
  BOOST_REQUIRE(WaitForAll({ keyed, lookup, unkeyed }, seconds(20)));
  BOOST_TEST(keyed->Status() == 503);
  BOOST_TEST(keyed->Outcome() == "not-run");
  BOOST_TEST(lookup->Status() == 200);
  BOOST_TEST(unkeyed->Status() == 200);
  BOOST_TEST(fleet.RunsOf("keys", "permit-7") == 0);

  fleet.SetPlatformFault("away=0");
  RunFor(seconds(5));
  const auto again = Deposit(fleet, 0, "permit-7");
  BOOST_REQUIRE(WaitForAll({ again }, seconds(20)));
  BOOST_TEST(again->Status() == 200);
  BOOST_TEST(fleet.RunsOf("keys", "permit-7") == 1);
}

// Guards against a claim that is lost or made twice when the response to its
// write is lost.
BOOST_AUTO_TEST_CASE(RunsOnceWhenTheResponseToItsClaimIsLost)
{
  Fleet fleet(CommissionServicePlan());
  BOOST_REQUIRE(fleet.Start());
  fleet.SetPlatformFault("lose_write_answers=1");
  const auto call = Deposit(fleet, 0, "temple-2");
  BOOST_REQUIRE(WaitForAll({ call }, seconds(20)));
  BOOST_TEST(call->Status() == 200);
  BOOST_TEST(fleet.RunsOf("keys", "temple-2") == 1);
}

// Guards against a second run when an owner dies with requests in flight, and
// against a service that does not recover afterwards.
BOOST_AUTO_TEST_CASE(RunsAtMostOnceWhenItsOwnerIsKilled)
{
  FleetPlan plan = PermitServicePlan();
  plan.hostsPerDomain = 2;
  plan.backendFlags = { "--service_time_ms=300" };
  Fleet fleet(plan);
  BOOST_REQUIRE(fleet.Start());
  Calls calls;
  for (int i = 0; i < 12; ++i) {
    calls.push_back(fleet.Request(
      fleet.Hosts()[0],
      "POST",
      "/work/approve",
      "{}",
      { { "Idempotency-Key", "approval-" + std::to_string(i) } }));
  }
  RunFor(milliseconds(150));
  // Entry hosts prefer owners in their own failure domain; host 1 is in the
  // failure domain of host 0.
  fleet.Hosts()[1].process->Kill();
  BOOST_REQUIRE(WaitForAll(calls, seconds(40)));
  for (int i = 0; i < 12; ++i) {
    const std::string key = "approval-" + std::to_string(i);
    const int runs = fleet.RunsOf("keys", key);
    BOOST_TEST(runs <= 1);
    const auto& call = calls[static_cast<std::size_t>(i)];
    if (call->Status() == 200) {
      BOOST_TEST(runs == 1);
    }
    if (call->Outcome() == "not-run") {
      BOOST_TEST(runs == 0);
    }
  }
  RunFor(seconds(5));
  const auto later = fleet.Request(fleet.Hosts()[0], "GET", "/work/1");
  BOOST_REQUIRE(WaitForAll({ later }, seconds(10)));
  BOOST_TEST(later->Status() == 200);
}

// Guards against an owner that is suspended, resumes later and then sends
// requests whose callers have already received the outcome "not-run".
BOOST_AUTO_TEST_CASE(IsNotSentByAnOwnerThatResumesAfterItsDeadline)
{
  FleetPlan plan = PermitServicePlan();
  plan.hostsPerDomain = 2;
  plan.backendFlags = { "--service_time_ms=200" };
  Fleet fleet(plan);
  BOOST_REQUIRE(fleet.Start());
  Calls calls;
  for (int i = 0; i < 30; ++i) {
    calls.push_back(
      fleet.Request(fleet.Hosts()[0],
                    "POST",
                    "/work/approve",
                    "{}",
                    { { "Idempotency-Key", "frozen-" + std::to_string(i) },
                      { "Request-Timeout-Ms", "1000" } }));
  }
  RunFor(milliseconds(100));
  fleet.Hosts()[1].process->Suspend();
  BOOST_TEST(WaitForAll(calls, seconds(20)));
  RunFor(seconds(3));
  fleet.Hosts()[1].process->Resume();
  RunFor(seconds(2));
  for (int i = 0; i < 30; ++i) {
    const int runs = fleet.RunsOf("keys", "frozen-" + std::to_string(i));
    BOOST_TEST(runs <= 1);
    if (calls[static_cast<std::size_t>(i)]->Outcome() == "not-run") {
      BOOST_TEST(runs == 0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
