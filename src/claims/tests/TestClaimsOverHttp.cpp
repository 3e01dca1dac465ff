#include "claims/tests/support/ClaimHost.h"
#include "store/tests/support/CatalogStoreFixture.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using std::chrono::milliseconds;

namespace {

const ClaimRequest kRequest{ "customer", "key-1", "fingerprint" };

// Two registries that reach the simulated platform over HTTP.
struct HttpFleet : CatalogStoreFixture
{
  HttpFleet()
  {
    otherStore = Connect();
    first = ClaimRegistry::Create(
      *store, clock, random, "host-1", 1, ShortDelayLimits());
    second = ClaimRegistry::Create(
      *otherStore, clock, random, "host-2", 2, ShortDelayLimits());
  }

  ClaimResult Claim(ClaimRegistry& aRegistry,
                    milliseconds aTimeout = std::chrono::seconds(5))
  {
    std::optional<ClaimResult> result;
    aRegistry.Claim(kRequest,
                    clock.Now() + aTimeout,
                    [&](const ClaimResult& aResult) { result = aResult; });
    BOOST_REQUIRE(WaitUntil([&] { return result.has_value(); }));
    return *result;
  }

  void LoseResponses(int aCount)
  {
    StoreFaults faults;
    faults.lostWriteResponses = aCount;
    SetFaults(faults);
  }

  SystemClock clock;
  SeededRandom random{ 1 };
  std::unique_ptr<CatalogObjectStore> otherStore;
  std::unique_ptr<ClaimRegistry> first;
  std::unique_ptr<ClaimRegistry> second;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimsOverHttp)

// Guards against an error of the HTTP client after a broken connection that
// makes the registry lose the claim or grant it twice.
BOOST_FIXTURE_TEST_CASE(LostResponsesAreRecovered, HttpFleet)
{
  LoseResponses(1);
  const ClaimResult claim = Claim(*first);
  BOOST_TEST(claim.decision == ClaimDecision::Granted);
  BOOST_TEST(Claim(*second).decision == ClaimDecision::Undecided);
  LoseResponses(1);
  first->Complete(
    claim.claimId, 200, StoredResponse{ 200, "text/plain", "body" });
  BOOST_REQUIRE(WaitUntil([&] { return first->PendingWrites() == 0; }));
  const ClaimResult again = Claim(*second);
  BOOST_TEST(again.decision == ClaimDecision::AlreadyRan);
  BOOST_REQUIRE(again.response);
  BOOST_TEST(again.response->body == "body");
}

// Guards against a claim that stays undecided after an outage.
BOOST_FIXTURE_TEST_CASE(AClaimDuringAnOutageIsReleasedAfterIt, HttpFleet)
{
  StoreFaults slow;
  slow.delay = milliseconds(60);
  SetFaults(slow);
  BOOST_TEST(Claim(*first, milliseconds(30)).decision ==
             ClaimDecision::StoreUnavailable);
  BOOST_TEST(first->PendingWrites() == 1);
  SetFaults({});
  BOOST_REQUIRE(WaitUntil([&] { return first->PendingWrites() == 0; }));
  BOOST_TEST(Claim(*second).decision == ClaimDecision::Granted);
}

BOOST_AUTO_TEST_SUITE_END()
