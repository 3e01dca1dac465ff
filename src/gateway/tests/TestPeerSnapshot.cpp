#include "gateway/PeerSnapshot.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;

BOOST_AUTO_TEST_SUITE(Snapshots)

BOOST_AUTO_TEST_CASE(AreReadAsTheyWereWritten)
{
  CatalogObject object;
  object.name = "main";
  object.revision = 7;
  object.content["version"] = 3;
  PeerSnapshot snapshot;
  snapshot.configuration.objects.emplace("main", object);
  snapshot.configuration.newestChange = 8;
  object.name = "i-1";
  object.status["state"] = "ready";
  snapshot.backendServers.objects.emplace("i-1", object);
  snapshot.hosts = { { "edge-1", { "10.1.0.18", 7200 }, { "10.1.0.18", 8382 } },
                     { "edge-2", { "10.1.0.19", 7200 } } };
  const auto read = DecodePeerSnapshot(EncodePeerSnapshot(snapshot));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read->configuration.objects.at("main").revision == 7U);
  BOOST_TEST(
    read->configuration.objects.at("main").content["version"].toInt() == 3);
  BOOST_TEST(read->configuration.newestChange == 8U);
  BOOST_TEST(
    (read->backendServers.objects.at("i-1").status["state"] == "ready"));
  BOOST_TEST((read->hosts == snapshot.hosts));
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
