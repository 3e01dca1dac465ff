#include "quota/QuotaLedger.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace filbertbeam {

namespace {

constexpr QuotaBound kBound{ 5s, 0.1, 20 };

std::shared_ptr<const ContractTable>
MakeContracts(double aRate, double aBurst)
{
  Contract contract;
  contract.customer = "north";
  contract.requestsPerSecond = aRate;
  contract.burst = aBurst;
  std::string reason;
  return ContractTable::Create({ contract }, reason);
}

struct Fixture
{
  explicit Fixture(double aRate = 10, double aBurst = 20)
  {
    SetContract(aRate, aBurst);
  }

  void SetContract(double aRate, double aBurst)
  {
    contracts = MakeContracts(aRate, aBurst);
    ledger.SetContracts(contracts, now);
  }

  const Contract& NorthContract() const { return *contracts->Find("north"); }

  QuotaGrant Ask(std::uint32_t aWanted,
                 std::uint32_t aReturned = 0,
                 bool aHasChangedHome = false)
  {
    return ledger.Grant({ "north", aWanted, aReturned, aHasChangedHome }, now);
  }

  Instant now{ 100s };
  std::shared_ptr<const ContractTable> contracts;
  QuotaLedger ledger{ kBound, now };
};

} // namespace

BOOST_AUTO_TEST_SUITE(AHomeGrantsTokens)

// A home that has just started must not add its burst to that of the earlier
// one, but the demand below the limit needs some tokens.
BOOST_FIXTURE_TEST_CASE(FewWhenItHasJustBegun, Fixture)
{
  const double initial = ledger.InitialLevel(NorthContract());
  BOOST_TEST(initial < ledger.Depth(NorthContract()));
  BOOST_TEST(initial >= 6);
  BOOST_TEST(Ask(1'000).granted == static_cast<std::uint32_t>(initial));
  now += 1s;
  BOOST_TEST(Ask(1'000).granted == 10U);
  now += 60s;
  ledger.OnInterruption(now);
  BOOST_TEST(Ask(1'000).granted == static_cast<std::uint32_t>(initial));
}

BOOST_FIXTURE_TEST_CASE(NeverAboveTheBoundInAWindow, Fixture)
{
  now += 60s;
  std::uint32_t granted = 0;
  for (const Instant end = now + 5s; now < end; now += 3ms) {
    granted += Ask(7).granted;
  }
  BOOST_TEST(granted <= 5 * 10 + ledger.Depth(NorthContract()) + 1);
  BOOST_TEST(granted >= 5 * 10 + 20);
}

BOOST_FIXTURE_TEST_CASE(UnderALowerLimitAtOnce, Fixture)
{
  now += 60s;
  BOOST_TEST(Ask(1).granted == 1U);
  SetContract(2, 1);
  BOOST_TEST(Ask(1'000).granted <= ledger.Depth(NorthContract()));
  now += 1s;
  BOOST_TEST(Ask(1'000).granted <= 3U);
}

BOOST_FIXTURE_TEST_CASE(AndTellsARefusedRequestWhenItFindsOne, Fixture)
{
  BOOST_TEST(Ask(1'000).granted > 0U);
  now += 2s;
  BOOST_TEST(Ask(20).granted == 20U);
  const QuotaGrant first = Ask(1);
  BOOST_TEST(first.granted == 0U);
  const QuotaGrant second = Ask(1);
  BOOST_TEST((second.retryAfter > first.retryAfter));
  now += first.retryAfter;
  BOOST_TEST(Ask(1).granted == 1U);
}

// A request that found no server has not used its token.
BOOST_FIXTURE_TEST_CASE(AgainWhenTheyAreGivenBack, Fixture)
{
  BOOST_TEST(Ask(1'000).granted > 0U);
  BOOST_TEST(Ask(1).granted == 0U);
  BOOST_TEST(Ask(0, 2).granted == 0U);
  BOOST_TEST(Ask(5).granted == 2U);
  BOOST_TEST(Ask(0, 1'000).granted == 0U);
  BOOST_TEST(Ask(1'000).granted <= ledger.Depth(NorthContract()));
}

// Another home has granted the burst a moment ago.
BOOST_FIXTURE_TEST_CASE(FewToAHostThatComesFromAnotherHome, Fixture)
{
  now += 60s;
  BOOST_TEST(Ask(1'000, 0, true).granted <=
             ledger.InitialLevel(NorthContract()));
}

BOOST_FIXTURE_TEST_CASE(OnlyToWorkspacesThatItKnows, Fixture)
{
  BOOST_TEST((ledger.Grant({ "south", 1, 0, false }, now).status ==
              QuotaStatus::UnknownWorkspace));
  SetContract(0, 0);
  BOOST_TEST(Ask(50).granted == 50U);
  BOOST_TEST(ledger.Buckets() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertbeam
