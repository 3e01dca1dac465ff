#include "base/ManualClock.h"
#include "limits/WindowedRetryBudget.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace filbertbeam;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Retries)

// Guards against retries that multiply the load when every request fails.
BOOST_AUTO_TEST_CASE(AreAtMostATenthWhenEveryRequestFails)
{
  for (const int rate : { 1, 10, 100, 1000 }) {
    BOOST_TEST_CONTEXT("requests per second " << rate)
    {
      ManualClock clock;
      WindowedRetryBudget budget;
      constexpr int kSeconds = 60;
      int retries = 0;
      for (int i = 0; i < rate * kSeconds; ++i) {
        clock.Advance(Duration(1s) / rate);
        budget.OnRequest("service", "customer", clock.Now());
        // Retries until the budget refuses.
        for (int attempt = 0; attempt < 10; ++attempt) {
          if (!budget.TryRetry("service", "customer", clock.Now())) {
            break;
          }
          ++retries;
        }
      }
      // A tenth of the requests, plus one per second.
      BOOST_TEST(retries <= rate * kSeconds / 10 + kSeconds + 1);
      BOOST_TEST(retries >= kSeconds);
    }
  }
}

// Guards against a customer with few requests that cannot retry at all.
BOOST_AUTO_TEST_CASE(AreAllowedOncePerSecondAtAnyRate)
{
  ManualClock clock;
  WindowedRetryBudget budget;
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(budget.TryRetry("service", "customer", clock.Now()));
    BOOST_TEST(!budget.TryRetry("service", "customer", clock.Now()));
    clock.Advance(1s);
  }
}

// Guards against old requests that still allow retries.
BOOST_AUTO_TEST_CASE(CountTheLastTenSecondsOnly)
{
  ManualClock clock;
  WindowedRetryBudget budget;
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest("service", "customer", clock.Now());
  }
  clock.Advance(9s);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(budget.TryRetry("service", "customer", clock.Now()));
  }
  BOOST_TEST(!budget.TryRetry("service", "customer", clock.Now()));
  clock.Advance(11s);
  BOOST_TEST(budget.TryRetry("service", "customer", clock.Now()));
  BOOST_TEST(!budget.TryRetry("service", "customer", clock.Now()));
}

// Guards against a customer or a service that uses up another one's budget.
BOOST_AUTO_TEST_CASE(AreCountedPerServiceAndCustomer)
{
  ManualClock clock;
  WindowedRetryBudget budget;
  BOOST_TEST(budget.TryRetry("a", "bc", clock.Now()));
  BOOST_TEST(!budget.TryRetry("a", "bc", clock.Now()));
  BOOST_TEST(budget.TryRetry("ab", "c", clock.Now()));
  BOOST_TEST(budget.TryRetry("a", "other", clock.Now()));
}

// Guards against keeping every customer in memory forever.
BOOST_AUTO_TEST_CASE(AreForgottenAfterTheWindow)
{
  ManualClock clock;
  WindowedRetryBudget budget;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest("service", std::to_string(i), clock.Now());
  }
  BOOST_TEST(budget.EntryCount() == 1000U);
  clock.Advance(21s);
  budget.OnRequest("service", "0", clock.Now());
  BOOST_TEST(budget.EntryCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
