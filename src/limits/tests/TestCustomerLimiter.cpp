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

  // Sends aRequestsPerSecond for aDuration, and returns how many of the
  // requests are within the contract.
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

// Guards against admitting the whole promise on every entry host.
BOOST_FIXTURE_TEST_CASE(WithoutAShareAdmitsThePromiseDividedByLiveHosts,
                        LimiterFixture)
{
  limiter.SetLiveHosts(4);
  const Contract contract = ContractOf(40);
  // A burst of 2 s at 10/s, then 10/s.
  BOOST_TEST(Admit(contract, 1000, 1s) <= 30);
  BOOST_TEST(Admit(contract, 1000, 10s) == 100);
}

// Guards against a customer with few requests per second that are all
// classified as excess.
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
  // The share has expired: promise / live hosts applies.
  BOOST_TEST(Admit(contract, 1000, 2s) == 20);
}

// Guards against tokens for the time after a share's expiry if there was no
// request in between.
BOOST_FIXTURE_TEST_CASE(CountsAnExpiredShareOnlyUpToItsExpiry, LimiterFixture)
{
  limiter.SetLiveHosts(1'000'000);
  const Contract contract = ContractOf(10);
  BOOST_TEST(TakeToken(contract));
  Grant(0.1);
  clock.Advance(9s);
  // 3 s at 0.1/s, and next to nothing afterwards.
  BOOST_TEST(!TakeToken(contract));
}

// Guards against a burst that is larger than the promised one, after a share
// was reduced.
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

// Guards against refused requests that use up tokens.
BOOST_FIXTURE_TEST_CASE(ChargesNothingForARefusedRequest, LimiterFixture)
{
  const Contract contract = ContractOf(10);
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST_REQUIRE(TakeToken(contract));
    limiter.Refund("customer", clock.Now());
  }
  // A request that was classified as excess takes no token either.
  int burst = 0;
  for (int i = 0; i < 1000; ++i) {
    burst += TakeToken(contract) ? 1 : 0;
  }
  BOOST_TEST(burst == 20);
  clock.Advance(100ms);
  BOOST_TEST(TakeToken(contract));
  // A refund never fills the bucket above the burst.
  clock.Advance(1h);
  limiter.Refund("customer", clock.Now());
  limiter.Refund("nobody", clock.Now());
  burst = 0;
  while (TakeToken(contract)) {
    ++burst;
  }
  BOOST_TEST(burst == 20);
}

// Guards against invalid grants, as they come from other processes.
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

// Guards against a share that is withdrawn between two requests of a customer
// with few requests, and against endless reports for an inactive customer.
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

// Guards against keeping 80,000 customers in memory on each host, and against a
// new, full bucket for a customer whose bucket was erased when it was empty.
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
