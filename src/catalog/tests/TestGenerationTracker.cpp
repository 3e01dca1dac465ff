#include "catalog/CatalogVersion.h"
#include "catalog/GenerationTracker.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;

namespace {

struct TrackerFixture
{
  TrackerFixture()
  {
    tracker.SetHandler([this](const CatalogRestore& aRestore) {
      ++restores;
      last = aRestore;
    });
  }

  GenerationTracker tracker;
  int restores = 0;
  CatalogRestore last;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GenerationsOfACatalog, TrackerFixture)

BOOST_AUTO_TEST_CASE(OnlyAnIncreaseIsARestore)
{
  BOOST_TEST((tracker.OnResponse(4, 0, "list") == 4U));
  BOOST_TEST((tracker.OnResponse(4, 4, "list") == 4U));
  BOOST_TEST(restores == 0);
  BOOST_TEST((tracker.OnResponse(5, 4, "probe") == 5U));
  BOOST_TEST(restores == 1);
  BOOST_TEST(last.fromGeneration == 4U);
  BOOST_TEST(last.toGeneration == 5U);
  BOOST_TEST(last.source == "probe");
  // A host that was cut off may miss some.
  BOOST_TEST((tracker.OnResponse(9, 5, "watch") == 9U));
  BOOST_TEST(restores == 2);
}

// Guards against a response that is late and sets the host back.
BOOST_AUTO_TEST_CASE(AResponseOfAnEarlierOneIsRefused)
{
  tracker.OnResponse(4, 0, "list");
  tracker.OnResponse(5, 4, "list");
  BOOST_TEST(!tracker.OnResponse(4, 4, "list").has_value());
  // One that states none is of the generation in which its call was sent.
  BOOST_TEST(!tracker.OnResponse({}, 4, "list").has_value());
  BOOST_TEST((tracker.OnResponse({}, 5, "list") == 5U));
  BOOST_TEST(tracker.Current() == 5U);
  BOOST_TEST(restores == 1);
}

BOOST_AUTO_TEST_CASE(ACatalogThatStatesNoneHasOnlyOne)
{
  BOOST_TEST((tracker.OnResponse({}, 0, "list") == 0U));
  BOOST_TEST(!tracker.Known().has_value());
  // It begins to state them: that is no restore.
  BOOST_TEST((tracker.OnResponse(3, 0, "list") == 3U));
  BOOST_TEST(restores == 0);
}

// Guards against one damaged response that excludes all later ones.
BOOST_AUTO_TEST_CASE(AnImplausibleOneIsNotBelieved)
{
  BOOST_TEST((tracker.OnResponse(kMaxCatalogGeneration + 1, 0, "list") == 0U));
  BOOST_TEST(!tracker.Known().has_value());
  tracker.OnResponse(4, 0, "list");
  BOOST_TEST((tracker.OnResponse(kMaxCatalogGeneration, 4, "list") == 4U));
  BOOST_TEST(!tracker.OnPeerGeneration(kMaxCatalogGeneration));
  BOOST_TEST(tracker.Current() == 4U);
  BOOST_TEST(restores == 0);
}

BOOST_AUTO_TEST_CASE(APeerReportsARestore)
{
  BOOST_TEST(tracker.OnPeerGeneration(0));
  BOOST_TEST(!tracker.Known().has_value());
  BOOST_TEST(tracker.OnPeerGeneration(4));
  BOOST_TEST(restores == 0);
  BOOST_TEST(tracker.OnPeerGeneration(5));
  BOOST_TEST(restores == 1);
  BOOST_TEST(last.source == "peer");
  // A peer that has not noticed it yet changes nothing.
  BOOST_TEST(tracker.OnPeerGeneration(4));
  BOOST_TEST(tracker.Current() == 5U);
}

BOOST_AUTO_TEST_CASE(VersionsAreOrderedByGenerationFirst)
{
  BOOST_TEST((CatalogVersion{ 1, 90 } < CatalogVersion{ 2, 40 }));
  BOOST_TEST((CatalogVersion{ 2, 40 } < CatalogVersion{ 2, 41 }));
  BOOST_TEST((CatalogVersion{ 0, 90 } < CatalogVersion{ 1, 0 }));
}

BOOST_AUTO_TEST_CASE(VersionsAreReadAsTheyWereWritten)
{
  const CatalogVersion version{ 7, 12 };
  BOOST_TEST((ParseCatalogVersion(FormatCatalogVersion(version)) == version));
  BOOST_TEST((ParseCatalogVersion("12") == CatalogVersion{ 0, 12 }));
  for (const char* const text :
       { "", ".", "1.", ".1", "1.2.3", "-1.2", "1.x", "4294967296.1" }) {
    BOOST_TEST((ParseCatalogVersion(text) == CatalogVersion{}), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
