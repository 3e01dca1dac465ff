#include "base/SeededRandom.h"
#include "routing/RoutingTable.h"
#include "routing/WeightedSplit.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

Route
MakeRoute(std::string aName, std::string aHost, std::string aPrefix)
{
  Route route;
  route.name = std::move(aName);
  route.host = std::move(aHost);
  route.pathPrefix = std::move(aPrefix);
  route.timeout = 1s;
  route.targets = { { "service", 1 } };
  return route;
}

std::string
FindRouteName(const RoutingTable& aTable,
              std::string_view aHost,
              std::string_view aPath)
{
  const Route* route = aTable.Find(aHost, aPath);
  return route ? route->name : "none";
}

} // namespace

BOOST_AUTO_TEST_SUITE(Routing)

BOOST_AUTO_TEST_CASE(TheLongestPrefixOfTheHostWins)
{
  std::string reason;
  const auto table =
    RoutingTable::Create(7,
                         { MakeRoute("root", "a.example", "/"),
                           MakeRoute("manuals", "a.example", "/manuals/"),
                           MakeRoute("old", "a.example", "/manuals/old/"),
                           MakeRoute("other", "b.example", "/manuals/") },
                         {},
                         reason);
  BOOST_TEST_REQUIRE(table != nullptr, reason);
  struct Case
  {
    const char* host;
    const char* path;
    const char* route;
  };
  const Case cases[] = {
    { "a.example", "/", "root" },
    { "a.example", "/x", "root" },
    { "a.example", "/manuals/1", "manuals" },
    { "a.example", "/manuals/old/1", "old" },
    // A prefix matches whole path segments only.
    { "a.example", "/manualsx/1", "root" },
    { "a.example", "/manuals", "root" },
    { "A.Example:8080", "/manuals/", "manuals" },
    { "b.example", "/manuals/1", "other" },
    { "b.example", "/x", "none" },
    { "c.example", "/", "none" },
    { "", "/", "none" },
    { "a.example", "", "none" },
  };
  for (const Case& each : cases) {
    BOOST_TEST_CONTEXT(each.host << each.path)
    {
      BOOST_TEST(FindRouteName(*table, each.host, each.path) == each.route);
    }
  }
}

// Guards against a configuration that takes effect partially.
BOOST_AUTO_TEST_CASE(OneInvalidRouteRejectsTheWholeTable)
{
  struct Case
  {
    const char* description;
    Route route;
  };
  Route withoutTimeout = MakeRoute("r", "h", "/b/");
  withoutTimeout.timeout = {};
  Route withoutTarget = MakeRoute("r", "h", "/b/");
  withoutTarget.targets.clear();
  Route withoutWeight = MakeRoute("r", "h", "/b/");
  withoutWeight.targets = { { "service", 0 } };
  Route withoutAttempt = MakeRoute("r", "h", "/b/");
  withoutAttempt.maxAttempts = 0;
  const Case cases[] = { { "no timeout", withoutTimeout },
                         { "no service", withoutTarget },
                         { "no weight", withoutWeight },
                         { "no attempt", withoutAttempt },
                         { "no host", MakeRoute("r", "", "/b/") },
                         { "no slash", MakeRoute("r", "h", "/b") },
                         { "same host and prefix",
                           MakeRoute("r", "h", "/a/") } };
  for (const Case& each : cases) {
    BOOST_TEST_CONTEXT(each.description)
    {
      std::string reason;
      BOOST_TEST(
        (RoutingTable::Create(
           1, { MakeRoute("good", "h", "/a/"), each.route }, {}, reason) ==
         nullptr));
      BOOST_TEST(!reason.empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE(Weights)

BOOST_AUTO_TEST_CASE(AreRespectedByOneHost)
{
  SeededRandom random(1);
  WeightedSplit split(random);
  Route route = MakeRoute("r", "h", "/");
  route.targets = { { "a", 90 }, { "b", 10 }, { "never", 0 } };
  std::map<std::string, int> counts;
  for (int i = 0; i < 1000; ++i) {
    ++counts[split.Choose(route, 1)];
  }
  BOOST_TEST(std::abs(counts["a"] - 900) <= 3);
  BOOST_TEST(std::abs(counts["b"] - 100) <= 3);
  BOOST_TEST(counts["never"] == 0);
}

// Guards against hosts with few requests each that all start with the service
// of the largest weight.
BOOST_AUTO_TEST_CASE(AreRespectedByManyHostsWithFewRequestsEach)
{
  Route route = MakeRoute("r", "h", "/");
  route.targets = { { "a", 80 }, { "b", 20 } };
  int smallTargetRequests = 0;
  constexpr int kHosts = 400;
  for (int host = 0; host < kHosts; ++host) {
    SeededRandom random(static_cast<std::uint64_t>(host));
    WeightedSplit split(random);
    for (int i = 0; i < 2; ++i) {
      smallTargetRequests += split.Choose(route, 1) == "b" ? 1 : 0;
    }
  }
  // 160 of 800 are expected. The tolerance is 0.05 of all requests, half of
  // what the users accept.
  BOOST_TEST(std::abs(smallTargetRequests - 160) <= 40);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
