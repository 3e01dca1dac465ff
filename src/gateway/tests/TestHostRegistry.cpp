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

// Accepts every write. The list that it returns is set separately and does not
// show the writes.
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
BOOST_AUTO_TEST_CASE(IsWrittenAgainWhenTheListLacksTheHost)
{
  ReadList();
  BOOST_TEST(list.writes == 2);
}

// Guards against a store write for each list that contains the entry.
BOOST_AUTO_TEST_CASE(IsWrittenOnceWhenTheListContainsTheHost)
{
  list.listed.push_back({ "self", 1, PeerHostToJson(kSelf), {} });
  ReadList();
  BOOST_TEST(list.writes == 1);
}

BOOST_AUTO_TEST_SUITE_END()
