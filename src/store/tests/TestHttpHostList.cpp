#include "store/HttpHostList.h"
#include "store/tests/support/HttpStoreFixture.h"
#include "store/tests/support/PlatformRequests.h"
#include "store/tests/support/StoreCalls.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using std::chrono::milliseconds;

namespace {

struct HostListFixture : HttpStoreFixture
{
  HostListFixture()
  {
    std::string reason;
    hosts =
      HttpHostList::Create({ { "127.0.0.1", standIn->Port() } }, {}, reason);
    BOOST_REQUIRE_MESSAGE(hosts != nullptr, reason);
    requests = std::make_unique<PlatformRequests>(standIn->Port());
  }

  StoreResult<std::vector<ListedHost>> Fetch()
  {
    return Await<std::vector<ListedHost>>([&](HostList::Callback aCallback) {
      hosts->Fetch(std::move(aCallback));
    });
  }

  std::unique_ptr<HttpHostList> hosts;
  std::unique_ptr<PlatformRequests> requests;
};

constexpr const char* kHost =
  R"({"region":"tt-north","domain":"piarco","address":"127.0.0.1",)"
  R"("relay_port":7001,"control_port":7002,"leaving":true})";

} // namespace

BOOST_AUTO_TEST_SUITE(HostLists)

// Guards against a host that is addressed wrongly or keeps getting work while
// it leaves.
BOOST_FIXTURE_TEST_CASE(EveryFieldReadsBackAsSet, HostListFixture)
{
  BOOST_TEST(Fetch().value->empty());
  BOOST_TEST(requests->Send("PUT", "/hosts/host-1", kHost).status == 200);
  const auto fetched = Fetch();
  BOOST_REQUIRE(fetched.value);
  BOOST_REQUIRE(fetched.value->size() == 1U);
  const ListedHost& host = fetched.value->front();
  BOOST_TEST(host.host == "host-1");
  BOOST_TEST(host.region == "tt-north");
  BOOST_TEST(host.domain == "piarco");
  BOOST_TEST(host.address == "127.0.0.1");
  BOOST_TEST(host.relayPort == 7001);
  BOOST_TEST(host.controlPort == 7002);
  BOOST_TEST(host.isLeaving);
  BOOST_TEST(requests->Send("DELETE", "/hosts/host-1").status == 200);
  BOOST_TEST(Fetch().value->empty());
}

// Guards against a simulated list that is never stale, so that no test would
// find a fleet that trusts it.
BOOST_FIXTURE_TEST_CASE(ChangesShowAfterTheLag, HostListFixture)
{
  BOOST_TEST(requests->Send("POST", "/control?host_lag_ms=80").status == 200);
  requests->Send("PUT", "/hosts/host-1", kHost);
  BOOST_TEST(Fetch().value->empty());
  RunFor(milliseconds(100));
  BOOST_TEST(Fetch().value->size() == 1U);
}

// Guards against an outage or a malformed list that looks as if hosts had
// gone.
BOOST_FIXTURE_TEST_CASE(AFailureIsNotAnEmptyList, HostListFixture)
{
  requests->Send("PUT", "/hosts/host-1", kHost);
  requests->Send("POST", "/control?away=1");
  BOOST_TEST(Fetch().error == StoreError::Unavailable);
  requests->Send("POST", "/control?away=0");
  BOOST_TEST(Fetch().value->size() == 1U);
  // Bypasses the checks of PUT.
  standIn->PutHost({ "host-2", "", "", "", 0, 0, false });
  BOOST_TEST(Fetch().error == StoreError::Unavailable);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PlatformControls)

// Guards against a fault switch that does nothing, so that a test of faults
// passes without any.
BOOST_FIXTURE_TEST_CASE(FaultsSwitchWhileItRuns, HostListFixture)
{
  requests->Send("POST", "/control?lose_write_answers=1&slow_ms=40");
  QElapsedTimer elapsed;
  elapsed.start();
  BOOST_TEST(AwaitCreate(*store, "a", "").error == StoreError::Unavailable);
  BOOST_TEST(elapsed.elapsed() >= 40);
  requests->Send("POST", "/control?slow_ms=0");
  BOOST_TEST(AwaitCreate(*store, "a", "").error == StoreError::Conflict);
  requests->Send("POST", "/control?away=1");
  BOOST_TEST(AwaitGet(*store, "a").error == StoreError::Unavailable);
  requests->Send("POST", "/control?away=0");
  BOOST_TEST(AwaitGet(*store, "a").error == StoreError::None);
}

// Guards against a misspelt switch that is taken as set.
BOOST_FIXTURE_TEST_CASE(AFaultyControlChangesNothing, HostListFixture)
{
  for (const char* target : { "/control?away=1&slo_ms=5",
                              "/control?away=1&slow_ms=x",
                              "/control?away=1&slow_ms=-1" }) {
    BOOST_TEST(requests->Send("POST", target).status == 400);
  }
  BOOST_TEST(AwaitGet(*store, "a").error == StoreError::NotFound);
}

// Guards against a request without a condition, which could overwrite another
// writer's object.
BOOST_FIXTURE_TEST_CASE(AWriteNeedsACondition, HostListFixture)
{
  BOOST_TEST(requests->Send("PUT", "/objects/a", "value").status == 400);
  BOOST_TEST(AwaitGet(*store, "a").error == StoreError::NotFound);
}

// Guards against load figures that miss calls over HTTP.
BOOST_FIXTURE_TEST_CASE(CountsAreReadAndReset, HostListFixture)
{
  AwaitCreate(*store, "a", "");
  AwaitGet(*store, "a");
  AwaitWatch(*store, "a", 1, milliseconds(30));
  Fetch();
  BOOST_TEST(requests->Send("GET", "/control/counts").body ==
             R"({"creates":1,"gets":1,"host_lists":1,"lists":0,)"
             R"("updates":0,"watches":1})");
  requests->Send("POST", "/control?reset_counts=1");
  BOOST_TEST(requests->Send("GET", "/control/counts").body ==
             R"({"creates":0,"gets":0,"host_lists":0,"lists":0,)"
             R"("updates":0,"watches":0})");
}

BOOST_AUTO_TEST_SUITE_END()
