#include "platform/tests/support/MixedSoakFixture.h"

using namespace filbertbeam;
using namespace filbertbeam::testing;

namespace {

constexpr std::chrono::seconds kSoakTime{ 11 };
constexpr std::chrono::seconds kUnmarkedTime{ 7 };
constexpr std::chrono::seconds kSoundTime{ 3 };

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallersThatCompareEachByte, MixedSoakFixture)

// Guards against responses with bytes that no server sent for the request,
// responses of other requests or statuses, and cut responses that look
// complete.
BOOST_AUTO_TEST_CASE(GetOnlyResponsesToTheirRequests)
{
  Start(StutterConduct::Draw);
  Play(kSoakTime, true);
  Settle();
  Report();
  // Otherwise the run shows nothing.
  BOOST_TEST(ledger.requests.Responses(200, 299) > 0U);
  BOOST_TEST(ledger.requests.Responses(500, 599) > 0U);
  BOOST_TEST(ledger.Cut() > 0U);
  BOOST_TEST(Sum(&StutteringServer::PlacedCopies) > 0);
  BOOST_TEST(Sum(&StutteringServer::TimedCopies) > 0);
  BOOST_TEST(strayBytes > 0);
}

// Guards against a body that a server's second copy of the same response has
// made longer, where the response has no length and the copy names no request.
BOOST_AUTO_TEST_CASE(GetOnlyTheFirstOfTwoResponsesWithoutALength)
{
  Start([](Random& aRandom) {
    StutterConduct conduct = StutterConduct::Draw(aRandom);
    conduct.unmarkedShare = 1;
    return conduct;
  });
  Play(kUnmarkedTime, true);
  Settle();
  Report();
  BOOST_TEST(ledger.requests.Responses(200, 299) > 0U);
  BOOST_TEST(strayBytes > 0);
}

// Guards against a body that a second copy has completed, where the server
// broke the response off and the copy names no request. All copies are such.
BOOST_AUTO_TEST_CASE(GetNoRestOfABodyFromACopy)
{
  Start([](Random& aRandom) {
    StutterConduct conduct = StutterConduct::Draw(aRandom);
    conduct.truncatedShare = 0.1;
    conduct.copiedShare = 1;
    conduct.namelessShare = 1;
    conduct.timedShare = 1;
    conduct.maxCopyDelay = std::chrono::milliseconds(10);
    conduct.unmarkedRestShare = 1;
    return conduct;
  });
  Play(kUnmarkedTime, true);
  Settle();
  Report();
  BOOST_TEST(ledger.requests.Responses(200, 299) > 0U);
  BOOST_TEST(strayBytes > 0);
}

// Guards against sound responses that are lost, because they look as if they
// had other bytes in them or behind them.
BOOST_AUTO_TEST_CASE(GetEveryResponseOfSoundServers)
{
  Start(StutterConduct::DrawSound);
  Play(kSoundTime, false);
  Settle();
  Report();
  for (const std::string& id : ledger.Unsuccessful()) {
    BOOST_ERROR(id << " had no success");
  }
  BOOST_TEST(ledger.requests.Responses(200, 299) > 0U);
  BOOST_TEST(ledger.Cut() == 0U);
  BOOST_TEST(strayBytes == 0);
}

BOOST_AUTO_TEST_SUITE_END()
