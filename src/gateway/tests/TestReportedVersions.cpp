#include "gateway/ReportedVersions.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(VersionsThatPeersReport)

BOOST_AUTO_TEST_CASE(AreKnownByTheirTime)
{
  const Instant start{ 100s };
  ReportedVersions reported;
  BOOST_TEST(reported.ReportedBy(start).directory == 0U);
  reported.Report({ 3, 10 }, start);
  reported.Report({ 2, 20 }, start + 200ms);
  BOOST_TEST(reported.Newest().configuration == 3U);
  BOOST_TEST(reported.Newest().directory == 20U);
  BOOST_TEST(reported.ReportedBy(start - 1ms).directory == 0U);
  BOOST_TEST(reported.ReportedBy(start + 100ms).directory == 10U);
  BOOST_TEST(reported.ReportedBy(start + 200ms).directory == 20U);
  BOOST_TEST(reported.ReportedBy(start + 200ms).configuration == 3U);
}

// Guards against lists of the catalog by a host that reads each change soon
// after its peers while changes go on without end.
BOOST_AUTO_TEST_CASE(AreNeverOverdueAtAHostThatFollowsThem)
{
  constexpr auto kStep = 10ms;
  constexpr std::uint64_t kLagSteps = 50;
  constexpr auto kDelay = 750ms;
  ReportedVersions reported;
  for (std::uint64_t step = 0; step < 1'000; ++step) {
    const Instant now = Instant(100s) + step * kStep;
    reported.Report({ 1, step }, now);
    const std::uint64_t read = step < kLagSteps ? 0 : step - kLagSteps;
    BOOST_TEST(reported.ReportedBy(now - kDelay).directory <= read);
  }
}

// Guards against a host that does not notice that it hears no changes.
BOOST_AUTO_TEST_CASE(AreOverdueAtAHostThatReadsNothing)
{
  ReportedVersions reported;
  const Instant start{ 100s };
  for (std::uint64_t step = 1; step < 100; ++step) {
    reported.Report({ 1, step }, start + step * 10ms);
  }
  BOOST_TEST(reported.ReportedBy(start + 990ms - 750ms).directory >= 20U);
}

BOOST_AUTO_TEST_SUITE_END()
