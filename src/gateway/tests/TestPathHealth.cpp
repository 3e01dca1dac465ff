#include "base/ManualClock.h"
#include "gateway/PathHealth.h"
#include "gateway/PeerSnapshot.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Paths)

// Guards against a broken path that costs each request a failed connection, and
// against a server that is avoided for good.
BOOST_AUTO_TEST_CASE(ThatFailAreAvoidedForLongerEachTime)
{
  ManualClock clock;
  PathHealth paths;
  paths.OnUnreachable("a", clock.Now());
  BOOST_TEST(paths.Avoided(clock.Now()).size() == 1U);
  clock.Advance(1s);
  BOOST_TEST(paths.Avoided(clock.Now()).empty());
  paths.OnUnreachable("a", clock.Now());
  clock.Advance(1500ms);
  BOOST_TEST(paths.Avoided(clock.Now()).size() == 1U);
  clock.Advance(600ms);
  BOOST_TEST(paths.Avoided(clock.Now()).empty());
  for (int i = 0; i < 10; ++i) {
    paths.OnUnreachable("a", clock.Now());
  }
  clock.Advance(9s);
  BOOST_TEST(paths.Avoided(clock.Now()).empty());
}

BOOST_AUTO_TEST_CASE(ThatWorkAgainAreUsedAtOnce)
{
  ManualClock clock;
  PathHealth paths;
  paths.OnUnreachable("a", clock.Now());
  paths.OnReached("a");
  BOOST_TEST(paths.Avoided(clock.Now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Snapshots)

BOOST_AUTO_TEST_CASE(AreReadAsTheyWereWritten)
{
  CatalogObject object;
  object.name = "main";
  object.revision = 7;
  object.content["version"] = 3;
  PeerSnapshot snapshot;
  snapshot.configuration.emplace("main", object);
  object.name = "i-1";
  object.status["state"] = "ready";
  snapshot.backendServers.emplace("i-1", object);
  snapshot.hosts = { { "edge-1", { "10.1.0.18", 7200 } } };
  const auto read = DecodePeerSnapshot(EncodePeerSnapshot(snapshot));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read->configuration.at("main").revision == 7U);
  BOOST_TEST(read->configuration.at("main").content["version"].toInt() == 3);
  BOOST_TEST((read->backendServers.at("i-1").status["state"] == "ready"));
  BOOST_TEST(read->hosts.at(0).address.port == 7200);
}

// Guards against a host that takes an error page for what its peer knows.
BOOST_AUTO_TEST_CASE(ThatAreNoneAreRefused)
{
  for (const char* const text :
       { "", "not ready\n", "[]", "{}", "{\"configuration\": []}" }) {
    BOOST_TEST(!DecodePeerSnapshot(text).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
