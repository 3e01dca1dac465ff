#include "gateway/RestoredKnowledge.h"
#include "http/tests/support/EventLoop.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(KnowledgeOfARestoredCatalog)

BOOST_AUTO_TEST_CASE(IsDecodedAsItWasEncoded)
{
  RestoredKnowledge knowledge;
  knowledge.configuration = CatalogObject{ "main", { 1, 95 }, {}, {} };
  knowledge.configuration->content["version"] = 5;
  knowledge.remaining = 1'200ms;
  knowledge.departures.push_back({ "i-1", { 70, 51, { 1, 90 } } });
  const auto read = DecodeRestoredKnowledge(EncodeRestoredKnowledge(knowledge));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST_REQUIRE(read->configuration.has_value());
  BOOST_TEST(
    (read->configuration->content == knowledge.configuration->content));
  BOOST_TEST(
    (read->configuration->version == knowledge.configuration->version));
  BOOST_TEST((read->remaining == knowledge.remaining));
  BOOST_TEST_REQUIRE(read->departures.size() == 1U);
  const KnownDeparture& departure = read->departures.front();
  BOOST_TEST(departure.server == "i-1");
  BOOST_TEST(departure.write.startedAt == 70);
  BOOST_TEST(departure.write.number == 51U);
  BOOST_TEST((departure.write.version == CatalogVersion{ 1, 90 }));
}

// Guards against a snapshot of an earlier release or an error page that is
// taken for the knowledge of a peer, and against a time without end.
BOOST_AUTO_TEST_CASE(ThatIsMalformedIsRefused)
{
  for (const char* const text :
       { "", "not ready\n", "[]", "{}", "{\"configuration\": {}}" }) {
    BOOST_TEST(!DecodeRestoredKnowledge(text).has_value(), text);
  }
  const auto read = DecodeRestoredKnowledge(
    "{\"departures\": [7], \"remaining_ms\": 99999999999999}");
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST((read->remaining == kDepartureRetention));
}

// Guards against a host that never becomes ready, or does so without asking.
BOOST_AUTO_TEST_CASE(IsNotWaitedForWithoutPeers)
{
  int results = 0;
  RestoredKnowledgeClient none(
    {}, [&](const auto& aKnowledge) { results += aKnowledge ? 0 : 1; });
  BOOST_TEST(!none.IsDone());
  none.Start();
  BOOST_TEST(none.IsDone());
  BOOST_TEST(results == 1);
  RestoredKnowledgeClient refused(
    { { "127.0.0.1", 1 }, { "127.0.0.1", 1 } },
    [&](const auto& aKnowledge) { results += aKnowledge ? 0 : 1; });
  refused.Start();
  BOOST_TEST(!refused.IsDone());
  BOOST_TEST(WaitUntil([&] { return refused.IsDone(); }, 1'500ms));
  BOOST_TEST(results == 2);
}

BOOST_AUTO_TEST_SUITE_END()
