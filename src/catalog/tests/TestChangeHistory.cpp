#include "catalog/ChangeHistory.h"
#include "catalog/tests/support/Versions.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

CatalogEvent
Event(std::uint64_t aRevision)
{
  CatalogEvent event;
  event.object.name = "object-" + std::to_string(aRevision);
  event.object.version = At(aRevision);
  return event;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HistoryOfChanges)

BOOST_AUTO_TEST_CASE(ReturnsChangesAfterARevision)
{
  ChangeHistory history;
  history.Reset(At(5));
  for (const std::uint64_t revision : { 7, 9, 12 }) {
    history.Add(Event(revision));
  }
  BOOST_TEST(history.After(At(5))->size() == 3U);
  BOOST_TEST(history.After(At(9))->size() == 1U);
  BOOST_TEST(history.After(At(9))->front().object.version == At(12));
  BOOST_TEST(history.After(At(12))->empty());
}

// Guards against a follower that misses changes which were discarded.
BOOST_AUTO_TEST_CASE(ReturnsNothingWhenChangesWereDiscarded)
{
  ChangeHistory history;
  history.Reset(At(5));
  BOOST_TEST(!history.After(At(4)).has_value());
  constexpr std::uint64_t kEndRevision = 5'000;
  for (std::uint64_t revision = 6; revision < kEndRevision; ++revision) {
    history.Add(Event(revision));
  }
  BOOST_TEST(!history.After(At(5)).has_value());
  BOOST_TEST(history.After(At(kEndRevision - 10))->size() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
