#include "base/ManualClock.h"
#include "entry/ServiceLevelMeter.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;

BOOST_AUTO_TEST_SUITE(BurnReport)

// Guards against failures that are still counted after their window has
// passed.
BOOST_AUTO_TEST_CASE(OmitsRequestsOlderThanTheWindow)
{
  ManualClock clock;
  ServiceLevelMeter meter;
  meter.Record("permits", "inspector", true, clock.Now());
  clock.Advance(std::chrono::minutes(10));
  meter.Record("permits", "inspector", false, clock.Now());
  const std::vector<BurnRow> rows = meter.Report(clock.Now());
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_REQUIRE(rows[0].windows.size() == 3U);
  BOOST_TEST(rows[0].windows[0].requests == 1U);
  BOOST_TEST(rows[0].windows[0].failed == 0U);
  BOOST_TEST(rows[0].windows[1].requests == 2U);
  BOOST_TEST(rows[0].windows[1].failed == 1U);
}

// Guards against unlimited memory growth with the number of customers.
BOOST_AUTO_TEST_CASE(CountsCustomersAboveTheLimitTogether)
{
  ManualClock clock;
  ServiceLevelMeter meter;
  for (int i = 0; i < 5'000; ++i) {
    meter.Record("permits", std::to_string(i), false, clock.Now());
  }
  std::uint64_t requests = 0;
  const std::vector<BurnRow> rows = meter.Report(clock.Now());
  for (const BurnRow& row : rows) {
    requests += row.windows[0].requests;
  }
  BOOST_TEST(rows.size() <= 2'001U);
  BOOST_TEST(requests == 5'000U);
}

BOOST_AUTO_TEST_SUITE_END()
