#include "gateway/KnownDepartures.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

const std::string kServer = "i-1";
const Instant kStart{ 1'000s };
constexpr std::int64_t kStartedAt = 70; // Unix milliseconds

ServerWrite
Write(std::uint64_t aNumber, const CatalogVersion& aVersion)
{
  return { kStartedAt, aNumber, aVersion };
}

struct DepartureFixture
{
  bool HasDeparted(const ServerWrite& aWrite,
                   std::chrono::milliseconds aTime = 1s)
  {
    return departures.HasDeparted(kServer, aWrite, kStart + aTime);
  }

  KnownDepartures departures;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DeparturesOfServers, DepartureFixture)

// Guards against requests to a server that stated that it leaves: the catalog
// came back from a copy in which it was ready.
BOOST_AUTO_TEST_CASE(CountAgainstAnOlderCopyUntilTheServerWritesAgain)
{
  departures.OnDraining(kServer, Write(51, { 1, 95 }), kStart);
  departures.OnCatalogRestored(kStart + 1s);
  BOOST_TEST(HasDeparted(Write(47, { 2, 40 })));
  BOOST_TEST(HasDeparted(Write(47, { 2, 40 })));
  BOOST_TEST(departures.KeptCount() == 1U);
  BOOST_TEST(!HasDeparted(Write(52, { 2, 43 })));
  BOOST_TEST(departures.KeptCount() == 0U);
  BOOST_TEST(!HasDeparted(Write(52, { 2, 43 })));
}

// A copy may have a later write of a removed server than hosts have read, since
// writes that change only their number are not reported.
BOOST_AUTO_TEST_CASE(CountAgainstALaterWriteWithTheSameRevision)
{
  departures.OnRemoved(kServer, Write(1, { 1, 30 }), kStart);
  departures.OnCatalogRestored(kStart + 1s);
  BOOST_TEST(HasDeparted(Write(44, { 2, 30 })));
  BOOST_TEST(!HasDeparted(Write(45, { 2, 52 })));
}

BOOST_AUTO_TEST_CASE(EndWithALaterRun)
{
  departures.OnRemoved(kServer, Write(51, { 1, 95 }), kStart);
  departures.OnCatalogRestored(kStart + 1s);
  ServerWrite write = Write(90, { 2, 41 });
  write.startedAt = kStartedAt - 1;
  BOOST_TEST(HasDeparted(write));
  write = Write(1, { 2, 40 });
  write.startedAt = kStartedAt + 1;
  BOOST_TEST(!HasDeparted(write));
}

// Guards against the earlier of two runs that is used again: the copy is older
// than the later one.
BOOST_AUTO_TEST_CASE(AreRememberedWhenALaterRunIsShown)
{
  departures.OnRemoved(kServer, Write(51, { 1, 95 }), kStart);
  ServerWrite later = Write(1, { 1, 97 });
  later.startedAt = kStartedAt + 1;
  BOOST_TEST(!HasDeparted(later));
  departures.OnCatalogRestored(kStart + 1s);
  BOOST_TEST(HasDeparted(Write(47, { 2, 40 })));
}

// Guards against a server that is never used again although it lives.
BOOST_AUTO_TEST_CASE(EndAfterTheRetention)
{
  departures.OnRemoved(kServer, Write(51, { 1, 95 }), kStart);
  departures.OnCatalogRestored(kStart + 1s);
  BOOST_TEST(HasDeparted(Write(51, { 2, 40 }), 1s + kDepartureRetention - 1ms));
  BOOST_TEST(!HasDeparted(Write(51, { 2, 40 }), 1s + kDepartureRetention));
  BOOST_TEST(departures.KeptCount() == 0U);
}

// Guards against an effect in calm: an entry that expired by mistake and
// returns is one of a server that lives.
BOOST_AUTO_TEST_CASE(DoNotCountWithoutARestore)
{
  departures.OnRemoved(kServer, Write(51, { 1, 95 }), kStart);
  BOOST_TEST(!HasDeparted(Write(51, { 1, 97 })));
}

// Guards against a server that is used again since the catalog has executed an
// earlier write of it late.
BOOST_AUTO_TEST_CASE(CountAgainstALateWriteUntilTheServerWritesAgain)
{
  departures.OnRemoved(kServer, Write(51, { 1, 95 }), kStart);
  BOOST_TEST(HasDeparted(Write(50, { 1, 97 })));
  BOOST_TEST(HasDeparted(Write(50, { 1, 97 }), kDepartureRetention - 1ms));
  BOOST_TEST(!HasDeparted(Write(52, { 1, 98 })));
  departures.OnRemoved(kServer, Write(52, { 1, 98 }), kStart);
  ServerWrite earlier = Write(60, { 1, 99 });
  earlier.startedAt = kStartedAt - 1;
  BOOST_TEST(HasDeparted(earlier));
  BOOST_TEST(!HasDeparted(earlier, kDepartureRetention));
}

// Guards against a server that returned before the restore.
BOOST_AUTO_TEST_CASE(AreForgottenWhenTheServerReturns)
{
  departures.OnRemoved(kServer, Write(51, { 1, 95 }), kStart);
  BOOST_TEST(!HasDeparted(Write(52, { 1, 97 })));
  departures.OnCatalogRestored(kStart + 1s);
  BOOST_TEST(!HasDeparted(Write(47, { 2, 40 })));
}

// Two restores in a row: the older entry expired after the first one, and the
// copy shows it again after the second.
BOOST_AUTO_TEST_CASE(CountAgainAfterAFurtherRestore)
{
  departures.OnRemoved(kServer, Write(51, { 1, 95 }), kStart);
  departures.OnCatalogRestored(kStart + 1s);
  BOOST_TEST(HasDeparted(Write(47, { 2, 40 })));
  departures.OnRemoved(kServer, Write(47, { 2, 40 }), kStart + 5s);
  BOOST_TEST(departures.KeptCount() == 0U);
  departures.OnCatalogRestored(kStart + 60s);
  BOOST_TEST(HasDeparted(Write(47, { 3, 40 }), 61s));
}

// Guards against memory that grows with each server that ever left.
BOOST_AUTO_TEST_CASE(ArePrunedAfterAWhile)
{
  departures.OnRemoved(kServer, Write(51, { 1, 95 }), kStart);
  departures.Prune(kStart + 10min);
  departures.OnCatalogRestored(kStart + 10min);
  BOOST_TEST(!HasDeparted(Write(47, { 2, 40 }), 10min));
}

BOOST_AUTO_TEST_SUITE_END()
