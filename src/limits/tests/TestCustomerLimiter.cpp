#include "base/ManualClock.h"
#include "limits/TokenBucketLimiter.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

Contract
ContractOf(double aPromise, const std::string& aCustomer = "customer")
{
  Contract contract;
  contract.customer = aCustomer;
  contract.requestsPerSecond = aPromise;
  return contract;
}

class LimiterFixture
{
public:
  bool TakeToken(const Contract& aContract)
  {
    return limiter.Classify(aContract, clock.Now()) == RequestClass::InContract;
  }

  // Requests of the next aDuration that are within the contract, out of
  // aRequestsPerSecond.
  int Admit(const Contract& aContract,
            int aRequestsPerSecond,
            std::chrono::seconds aDuration)
  {
    int admitted = 0;
    const auto count = aRequestsPerSecond * aDuration.count();
    for (std::int64_t i = 0; i < count; ++i) {
      clock.Advance(Duration(1s) / aRequestsPerSecond);
      admitted += TakeToken(aContract) ? 1 : 0;
    }
    return admitted;
  }

  void Grant(double aRequestsPerSecond)
  {
    const ShareGrant share{ "customer", aRequestsPerSecond };
    limiter.ApplyShares({ &share, 1 }, clock.Now());
  }

  ManualClock clock;
  TokenBucketLimiter limiter;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Limiter)

// Guards against a fleet that admits the promise once per entry host.
BOOST_FIXTURE_TEST_CASE(WithoutAShareAdmitsThePromiseDividedByLiveHosts,
                        LimiterFixture)
{
  limiter.SetLiveHosts(4);
  const Contract contract = ContractOf(40);
  // 2 s of 10/s at first, then 10/s.
  BOOST_TEST(Admit(contract, 1000, 1s) <= 30);
  BOOST_TEST(Admit(contract, 1000, 10s) == 100);
}

// Guards against a customer of few requests per second who gets none.
BOOST_FIXTURE_TEST_CASE(AlwaysAdmitsAFirstRequest, LimiterFixture)
{
  limiter.SetLiveHosts(1300);
  BOOST_TEST(TakeToken(ContractOf(0.1)));
  BOOST_TEST(!TakeToken(ContractOf(0.1)));
}

BOOST_FIXTURE_TEST_CASE(AdmitsTheShareUntilItExpires, LimiterFixture)
{
  limiter.SetLiveHosts(10);
  const Contract contract = ContractOf(100);
  while (TakeToken(contract)) {
  }
  Grant(50);
  BOOST_TEST(Admit(contract, 1000, 2s) == 100);
  BOOST_TEST(Admit(contract, 1000, 1s) == 50);
  // Expired: promise / live hosts.
  BOOST_TEST(Admit(contract, 1000, 2s) == 20);
}

// Guards against tokens for the time after a share's expiry, when no request
// came in between.
BOOST_FIXTURE_TEST_CASE(CountsAnExpiredShareOnlyUpToItsExpiry, LimiterFixture)
{
  limiter.SetLiveHosts(1'000'000);
  const Contract contract = ContractOf(10);
  BOOST_TEST(TakeToken(contract));
  Grant(0.1);
  clock.Advance(9s);
  // 3 s of 0.1/s, and next to nothing afterwards.
  BOOST_TEST(!TakeToken(contract));
}

// Guards against a burst that is larger than the one promised, after a share
// was taken away.
BOOST_FIXTURE_TEST_CASE(KeepsNoMoreThanTwoSecondsOfItsRate, LimiterFixture)
{
  const Contract contract = ContractOf(10);
  clock.Advance(1h);
  BOOST_TEST(TakeToken(contract));
  clock.Advance(1h);
  int burst = 0;
  while (TakeToken(contract)) {
    ++burst;
  }
  BOOST_TEST(burst == 20);
  clock.Advance(1h);
  Grant(2);
  burst = 0;
  while (TakeToken(contract)) {
    ++burst;
  }
  BOOST_TEST(burst == 4);
}

// Guards against a refusal that drains the budget it was refused from.
BOOST_FIXTURE_TEST_CASE(ChargesNothingForARefusedRequest, LimiterFixture)
{
  const Contract contract = ContractOf(10);
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST_REQUIRE(TakeToken(contract));
    limiter.Refund("customer", clock.Now());
  }
  // Nor does a request that was classified as excess.
  int burst = 0;
  for (int i = 0; i < 1000; ++i) {
    burst += TakeToken(contract) ? 1 : 0;
  }
  BOOST_TEST(burst == 20);
  clock.Advance(100ms);
  BOOST_TEST(TakeToken(contract));
  // A refund never exceeds the burst.
  clock.Advance(1h);
  limiter.Refund("customer", clock.Now());
  limiter.Refund("nobody", clock.Now());
  burst = 0;
  while (TakeToken(contract)) {
    ++burst;
  }
  BOOST_TEST(burst == 20);
}

// Guards against grants that make no sense: they come from other processes.
BOOST_FIXTURE_TEST_CASE(IgnoresInvalidShares, LimiterFixture)
{
  limiter.SetLiveHosts(0);
  const Contract contract = ContractOf(10);
  while (TakeToken(contract)) {
  }
  Grant(-1);
  Grant(std::numeric_limits<double>::quiet_NaN());
  Grant(std::numeric_limits<double>::infinity());
  BOOST_TEST(Admit(contract, 1000, 1s) == 10);
  // A share above the promise counts as the promise.
  Grant(1000);
  BOOST_TEST(Admit(contract, 1000, 1s) == 10);
}

BOOST_AUTO_TEST_SUITE(Demand)

BOOST_FIXTURE_TEST_CASE(CountsEveryRequestOfTheInterval, LimiterFixture)
{
  BOOST_TEST(limiter.TakeDemands(clock.Now()).empty());
  const Contract contract = ContractOf(10);
  Admit(contract, 200, 2s);
  const auto demands = limiter.TakeDemands(clock.Now());
  BOOST_TEST_REQUIRE(demands.size() == 1U);
  BOOST_TEST(demands.front().customer == "customer");
  BOOST_TEST(demands.front().requestsPerSecond == 200.0);
}

// Guards against a share that is taken away between two requests of a slow
// customer, and against reports for customers that are gone.
BOOST_FIXTURE_TEST_CASE(IsSmoothedAndEndsAfterThreeIdleSeconds, LimiterFixture)
{
  limiter.TakeDemands(clock.Now());
  const Contract contract = ContractOf(1);
  Admit(contract, 8, 1s);
  double last = limiter.TakeDemands(clock.Now()).front().requestsPerSecond;
  BOOST_TEST(last == 8.0);
  for (int second = 1; second < 3; ++second) {
    clock.Advance(1s);
    const auto demands = limiter.TakeDemands(clock.Now());
    BOOST_TEST_REQUIRE(demands.size() == 1U);
    BOOST_TEST(demands.front().requestsPerSecond == last / 2);
    last /= 2;
  }
  clock.Advance(1s);
  BOOST_TEST(limiter.TakeDemands(clock.Now()).empty());
}

// Guards against memory for 80,000 customers on each host, and against a full
// bucket for a customer that is forgotten with an empty one.
BOOST_FIXTURE_TEST_CASE(ForgetsIdleCustomersWithFullBuckets, LimiterFixture)
{
  for (int i = 0; i < 1000; ++i) {
    TakeToken(ContractOf(10, "customer-" + std::to_string(i)));
  }
  limiter.SetLiveHosts(100);
  TakeToken(ContractOf(0.1, "slow"));
  BOOST_TEST(limiter.CustomerCount() == 1001U);
  clock.Advance(61s);
  limiter.TakeDemands(clock.Now());
  clock.Advance(1s);
  limiter.TakeDemands(clock.Now());
  BOOST_TEST(limiter.CustomerCount() == 1U);
  BOOST_TEST(!TakeToken(ContractOf(0.1, "slow")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
