#include "platform/tests/support/MixedSoakFixture.h"

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

constexpr std::chrono::seconds kSoakTime{ 7 };

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallersOfServersThatDivideCopies, MixedSoakFixture)

// Guards against a body with parts of a second copy, where bytes of the
// response itself come between the parts of the copy's head.
BOOST_AUTO_TEST_CASE(GetNoPartsOfACopyWhoseHeadIsDivided)
{
  Start([](Random& aRandom) {
    StutterConduct conduct = StutterConduct::Draw(aRandom);
    conduct.dividedHeadShare = 0.5;
    return conduct;
  });
  Play(kSoakTime, true);
  Settle();
  Report();
  BOOST_TEST(ledger.requests.Responses(200, 299) > 0U);
  BOOST_TEST(strayBytes > 0);
}

BOOST_AUTO_TEST_SUITE_END()
