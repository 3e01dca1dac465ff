#include "base/SeededRandom.h"
#include "base/SystemClock.h"
#include "catalog/tests/support/CatalogStub.h"
#include "catalog/tests/support/Versions.h"
#include "gateway/HostRegistry.h"
#include "gateway/PeerSnapshot.h"
#include "http/tests/support/EventLoop.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

// Accepts every write. The list that it returns is set separately and does not
// show the writes.
class FixedList final : public CatalogStub
{
public:
  void List(Collection,
            std::string_view,
            ListFreshness aFreshness,
            PageCallback aCallback) override
  {
    lists += 1;
    const bool mayBeStale = aFreshness == ListFreshness::MayBeStale;
    newestLists += mayBeStale ? 0 : 1;
    aCallback({ {}, listed, false, At(1), mayBeStale });
  }
  void Put(Collection,
           std::string_view,
           const QJsonObject&,
           WriteCallback aCallback) override
  {
    writes += 1;
    aCallback({});
  }

  std::vector<CatalogObject> listed;
  int lists = 0;
  int newestLists = 0;
  int writes = 0;
};

const PeerHost kSelf{ "self",
                      "piarco",
                      { "127.0.0.1", 7200 },
                      { "127.0.0.1", 7300 } };

struct RegistryFixture
{
  // Returns after the list has been read once and handled.
  void ReadList()
  {
    registry.Start();
    BOOST_REQUIRE(WaitUntil([&] { return list.lists > 0; }, 5s));
    RunFor(50ms);
  }

  FixedList list;
  SeededRandom random{ 1 };
  SystemClock clock;
  HostRegistry registry{
    list, kSelf, clock, random, [](const auto&) {}, [](const auto&) {}
  };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RegistrationOfAGatewayHost, RegistryFixture)

// Guards against a host that no other host finds after its entry was removed.
BOOST_AUTO_TEST_CASE(IsWrittenAgainWhenTheNewestListLacksTheHost)
{
  ReadList();
  BOOST_TEST(list.writes == 1);
  BOOST_TEST_REQUIRE(WaitUntil([&] { return list.newestLists > 0; }));
  RunFor(50ms);
  BOOST_TEST(list.newestLists == 1);
  BOOST_TEST(list.writes == 2);
}

// Guards against two store calls for each host of a fleet that restarts.
BOOST_AUTO_TEST_CASE(IsNotWrittenWhenItIsListedFromAnEarlierRun)
{
  list.listed.push_back({ "self", At(1), PeerHostToJson(kSelf), {} });
  ReadList();
  BOOST_TEST(list.writes == 0);
}

// Guards against a host that is not listed for seconds after a planned restart:
// a stale list still contains the entry that the earlier run removed.
BOOST_AUTO_TEST_CASE(IsWrittenWhenTheNextListLacksTheEntryOfAnEarlierRun)
{
  list.listed.push_back({ "self", At(1), PeerHostToJson(kSelf), {} });
  ReadList();
  list.listed.clear();
  BOOST_TEST_REQUIRE(WaitUntil([&] { return list.lists == 2; }));
  RunFor(50ms);
  BOOST_TEST(list.writes == 1);
}

// Guards against an entry with the address of an earlier run.
BOOST_AUTO_TEST_CASE(IsWrittenWhenTheEntryOfAnEarlierRunDiffers)
{
  PeerHost earlier = kSelf;
  earlier.address.port = 7201;
  list.listed.push_back({ "self", At(1), PeerHostToJson(earlier), {} });
  ReadList();
  BOOST_TEST(list.writes == 1);
}

// Guards against hosts that write their entries again when they start together,
// since a stale list does not contain them yet.
BOOST_AUTO_TEST_CASE(IsNotWrittenAgainForAStaleList)
{
  ReadList();
  BOOST_TEST_REQUIRE(WaitUntil([&] { return list.lists == 2; }));
  RunFor(50ms);
  BOOST_TEST(list.writes == 1);
  BOOST_TEST(list.newestLists == 0);
}

// Guards against a host whose entry is lost for a minute when the catalog comes
// back from an older copy, and against one that loses its peers meanwhile.
BOOST_AUTO_TEST_CASE(IsWrittenAgainSoonAfterARestoreOfTheCatalog)
{
  const PeerHost peer{ "peer", "piarco", { "127.0.0.1", 7201 }, {} };
  list.listed.push_back({ "self", At(1), PeerHostToJson(kSelf), {} });
  list.listed.push_back({ "peer", At(2), PeerHostToJson(peer), {} });
  ReadList();
  BOOST_TEST(list.writes == 0);
  list.listed.clear();
  registry.OnCatalogRestored();
  BOOST_TEST(WaitUntil([&] { return list.writes == 1; }, 1s));
  BOOST_TEST(registry.ListedHosts().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
