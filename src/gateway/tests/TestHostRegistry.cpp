#include "base/SeededRandom.h"
#include "base/SystemClock.h"
#include "catalog/tests/support/CatalogStub.h"
#include "gateway/HostRegistry.h"
#include "gateway/PeerSnapshot.h"
#include "http/tests/support/EventLoop.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

// Takes every write and shows a list that is set apart from them.
class FixedList final : public CatalogStub
{
public:
  void List(Collection, std::string_view, PageCallback aCallback) override
  {
    lists += 1;
    aCallback({ {}, listed, false, 1 });
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
  int writes = 0;
};

const PeerHost kSelf{ "self",
                      "piarco",
                      { "127.0.0.1", 7200 },
                      { "127.0.0.1", 7300 } };

struct RegistryFixture
{
  // Until the list was read once and what follows from it was done.
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

BOOST_FIXTURE_TEST_SUITE(TheEntryOfAGatewayHost, RegistryFixture)

// Guards against a host that nobody finds after its entry was taken out.
BOOST_AUTO_TEST_CASE(IsWrittenAgainWhenTheListDoesNotShowIt)
{
  ReadList();
  BOOST_TEST(list.writes == 2);
}

// Guards against a call to the store for each list that shows the entry.
BOOST_AUTO_TEST_CASE(IsWrittenOnceWhereTheListShowsIt)
{
  list.listed.push_back({ "self", 1, PeerHostToJson(kSelf), {} });
  ReadList();
  BOOST_TEST(list.writes == 1);
}

BOOST_AUTO_TEST_SUITE_END()
