#include "gateway/PeerSnapshot.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;

BOOST_AUTO_TEST_SUITE(PeerSnapshots)

BOOST_AUTO_TEST_CASE(AreDecodedAsTheyWereEncoded)
{
  CatalogObject object;
  object.name = "main";
  object.version = { 2, 7 };
  object.content["version"] = 3;
  PeerSnapshot snapshot;
  snapshot.configuration.objects.emplace("main", object);
  snapshot.configuration.newestChange = { 2, 8 };
  snapshot.configuration.version = { 2, 9 };
  object.name = "i-1";
  object.status["state"] = "ready";
  snapshot.backendServers.objects.emplace("i-1", object);
  snapshot.hosts = {
    { "edge-1", "a", { "10.1.0.18", 7200 }, { "10.1.0.18", 8382 }, 0.5 },
    { "edge-2", "b", { "10.1.0.19", 7200 } }
  };
  const auto read = DecodePeerSnapshot(EncodePeerSnapshot(snapshot));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(
    (read->configuration.objects.at("main").version == CatalogVersion{ 2, 7 }));
  BOOST_TEST(
    read->configuration.objects.at("main").content["version"].toInt() == 3);
  BOOST_TEST((read->configuration.newestChange == CatalogVersion{ 2, 8 }));
  BOOST_TEST((read->configuration.version == CatalogVersion{ 2, 9 }));
  BOOST_TEST(
    (read->backendServers.objects.at("i-1").status["state"] == "ready"));
  BOOST_TEST((read->hosts == snapshot.hosts));
}

// Guards against a host that accepts an error page as the snapshot of a peer.
BOOST_AUTO_TEST_CASE(ThatAreMalformedAreRefused)
{
  for (const char* const text :
       { "", "not ready\n", "[]", "{}", "{\"configuration\": []}" }) {
    BOOST_TEST(!DecodePeerSnapshot(text).has_value());
  }
}

BOOST_AUTO_TEST_CASE(ChangesAreDecodedAsTheyWereEncoded)
{
  PeerChanges changes;
  changes.configuration.failure = { CatalogError::HistoryExpired, "" };
  changes.backendServers.version = { 2, 12 };
  CatalogEvent event;
  event.object.name = "i-1";
  event.object.version = { 2, 11 };
  event.object.content["address"] = "10.1.0.18:80";
  event.isDeleted = true;
  changes.backendServers.events.push_back(event);
  const auto read = DecodePeerChanges(EncodePeerChanges(changes));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(
    (read->configuration.failure.error == CatalogError::HistoryExpired));
  BOOST_TEST((read->backendServers.failure.error == CatalogError::None));
  BOOST_TEST((read->backendServers.version == CatalogVersion{ 2, 12 }));
  const CatalogEvent& only = read->backendServers.events.at(0);
  BOOST_TEST(only.object.name == "i-1");
  BOOST_TEST((only.object.version == CatalogVersion{ 2, 11 }));
  BOOST_TEST((only.object.content == event.object.content));
  BOOST_TEST(only.isDeleted);
}

// Guards against a host that accepts an error page as an empty list of changes.
BOOST_AUTO_TEST_CASE(MalformedChangesAreRefused)
{
  for (const char* const text :
       { "", "not ready\n", "[]", "{}", "{\"configuration\": {}}" }) {
    BOOST_TEST(!DecodePeerChanges(text).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
