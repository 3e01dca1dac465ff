#include "Fleet.h"

#include "base/Digest.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(TheRequestPath)

// Guards against a request path that works for only one of the two deployments,
// and against hosts that use only the backend servers of their own failure
// domain.
BOOST_AUTO_TEST_CASE(ServesBothDeploymentsThroughEveryHost)
{
  for (const FleetPlan& plan :
       { PermitServicePlan(), CommissionServicePlan() }) {
    Fleet fleet(plan);
    BOOST_REQUIRE(fleet.Start());
    for (const Fleet::Host& host : fleet.Hosts()) {
      const auto call = fleet.Request(host, "GET", "/work/1");
      BOOST_TEST(WaitForAll({ call }, seconds(5)));
      BOOST_TEST(call->Status() == 200);
      const auto post = fleet.Request(host, "POST", "/work/2", "deposit");
      BOOST_TEST(WaitForAll({ post }, seconds(5)));
      BOOST_TEST(post->Status() == 200);
    }
  }
}

// Guards against responses that are truncated, altered or swapped with those of
// other requests.
BOOST_AUTO_TEST_CASE(ForwardsConcurrentResponsesUnchanged)
{
  Fleet fleet(PermitServicePlan());
  BOOST_REQUIRE(fleet.Start());
  Calls calls;
  std::vector<std::size_t> sizes;
  for (std::size_t i = 0; i < 30; ++i) {
    sizes.push_back(1'000 + 50'021 * i);
    calls.push_back(fleet.Request(
      fleet.Hosts()[i % 3], "GET", "/bytes/" + std::to_string(sizes.back())));
  }
  BOOST_REQUIRE(WaitForAll(calls, seconds(20)));
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const auto direct =
      fleet.ControlRequest(fleet.Backends()[0].endpoint,
                           "GET",
                           "/bytes/" + std::to_string(sizes[i]));
    BOOST_TEST_CONTEXT(calls[i]->Status() << " " << calls[i]->Title() << " "
                                          << calls[i]->FailureReason())
    {
      BOOST_TEST(calls[i]->IsComplete());
      BOOST_TEST(calls[i]->Body().size() == sizes[i]);
    }
    BOOST_TEST(Sha256Hex(calls[i]->Body()) == Sha256Hex(direct->Body()));
  }
}

// Guards against a large response that the hosts buffer as a whole or truncate.
BOOST_AUTO_TEST_CASE(ForwardsAResponseOf64Megabytes)
{
  Fleet fleet(CommissionServicePlan());
  BOOST_REQUIRE(fleet.Start());
  constexpr std::size_t kBytes = 64UL * 1024 * 1024;
  const auto call =
    fleet.Request(fleet.Hosts()[0], "GET", "/bytes/" + std::to_string(kBytes));
  BOOST_REQUIRE(WaitForAll({ call }, seconds(60)));
  BOOST_TEST(call->IsComplete());
  BOOST_TEST(call->Body().size() == kBytes);
}

// Guards against a truncated response that is ended as if it were complete.
BOOST_AUTO_TEST_CASE(NeverEndsATruncatedResponseAsComplete)
{
  Fleet fleet(PermitServicePlan());
  BOOST_REQUIRE(fleet.Start());
  for (const Fleet::Backend& backend : fleet.Backends()) {
    fleet.SetMode(backend, "truncate");
  }
  const auto call = fleet.Request(fleet.Hosts()[0], "GET", "/bytes/100000");
  BOOST_TEST(WaitForAll({ call }, seconds(20)));
  BOOST_TEST((!call->IsComplete() || call->Status() >= 500));
}

BOOST_AUTO_TEST_SUITE_END()
