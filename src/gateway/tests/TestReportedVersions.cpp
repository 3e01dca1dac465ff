#include "catalog/tests/support/Versions.h"
#include "gateway/ReportedVersions.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(VersionsThatPeersReport)

BOOST_AUTO_TEST_CASE(AreKnownByTheirTime)
{
  const Instant start{ 100s };
  ReportedVersions reported;
  BOOST_TEST(reported.ReportedBy(start).directory == At(0));
  reported.Report({ At(3), At(10) }, start);
  reported.Report({ At(2), At(20) }, start + 200ms);
  BOOST_TEST(reported.Newest().configuration == At(3));
  BOOST_TEST(reported.Newest().directory == At(20));
  BOOST_TEST(reported.ReportedBy(start - 1ms).directory == At(0));
  BOOST_TEST(reported.ReportedBy(start + 100ms).directory == At(10));
  BOOST_TEST(reported.ReportedBy(start + 200ms).directory == At(20));
  BOOST_TEST(reported.ReportedBy(start + 200ms).configuration == At(3));
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
    reported.Report({ At(1), At(step) }, now);
    const std::uint64_t read = step < kLagSteps ? 0 : step - kLagSteps;
    BOOST_TEST(reported.ReportedBy(now - kDelay).directory <= At(read));
  }
}

// Guards against a host that does not notice that it hears no changes.
BOOST_AUTO_TEST_CASE(AreOverdueAtAHostThatReadsNothing)
{
  ReportedVersions reported;
  const Instant start{ 100s };
  for (std::uint64_t step = 1; step < 100; ++step) {
    reported.Report({ At(1), At(step) }, start + step * 10ms);
  }
  BOOST_TEST(reported.ReportedBy(start + 990ms - 750ms).directory >= At(20));
}

BOOST_AUTO_TEST_SUITE_END()
