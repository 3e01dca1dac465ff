#include "base/ManualClock.h"
#include "base/SeededRandom.h"
#include "limits/CustomerLimiter.h"
#include "limits/ShareCoordinator.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

constexpr double kPromise = 480;
constexpr int kEntryHosts = 48;

// Simulates 48 entry hosts and one home; reports and grants arrive without
// delay. Returns the rate of requests within the contract, per second, over
// aMeasured after aSettling.
double
AdmittedRate(double aOffered,
             const std::function<int(Random&)>& aBalancer,
             std::chrono::seconds aSettling,
             std::chrono::seconds aMeasured)
{
  ManualClock clock;
  SeededRandom random(5);
  Contract contract;
  contract.customer = "customer";
  contract.requestsPerSecond = kPromise;
  Configuration::Content content;
  content.contracts = { contract };
  const auto home = ShareCoordinator::Create();
  home->SetConfiguration(Configuration::Create(1, content));
  home->OnHomesChanged(clock.Now());
  clock.Advance(kShareHoldTime);

  std::vector<std::unique_ptr<CustomerLimiter>> entries;
  for (int i = 0; i < kEntryHosts; ++i) {
    entries.push_back(CustomerLimiter::Create());
    entries.back()->SetLiveHosts(kEntryHosts);
  }
  // Hosts report once a second, one after the other.
  constexpr Duration kStep = Duration(1s) / kEntryHosts;
  double due = 0;
  std::int64_t admitted = 0;
  const auto steps = (aSettling + aMeasured).count() * kEntryHosts;
  for (std::int64_t step = 0; step < steps; ++step) {
    clock.Advance(kStep);
    for (due += aOffered / kEntryHosts; due >= 1; due -= 1) {
      auto& entry = entries[static_cast<std::size_t>(aBalancer(random))];
      if (entry->Classify(contract, clock.Now()) == RequestClass::InContract &&
          step >= aSettling.count() * kEntryHosts) {
        ++admitted;
      }
    }
    const auto reporter = static_cast<std::size_t>(step % kEntryHosts);
    const auto demands = entries[reporter]->TakeDemands(clock.Now());
    const auto shares = home->OnReport(
      "entry-" + std::to_string(reporter), 1, demands, clock.Now());
    entries[reporter]->ApplyShares(shares, clock.Now());
  }
  return static_cast<double>(admitted) / static_cast<double>(aMeasured.count());
}

int
ToAllHostsEvenly(Random& aRandom)
{
  return static_cast<int>(aRandom.Below(kEntryHosts));
}

int
ToOneHost(Random&)
{
  return 17;
}

// Nine of ten requests go to four hosts, the rest evenly to all.
int
MostlyToFourHosts(Random& aRandom)
{
  return static_cast<int>(
    aRandom.Below(aRandom.Below(10) > 0 ? 4 : kEntryHosts));
}

} // namespace

BOOST_AUTO_TEST_SUITE(LimitsOfAFleet)

// Guards against limits that depend on how a balancer distributes requests. At
// most the promised rate is within the contract. A customer who offers half of
// the promise loses at most 1% of it; one who offers three times the promise
// gets at least 90% of the promise, as shares change over time.
BOOST_AUTO_TEST_CASE(KeepThePromiseUnderAnyBalancer)
{
  struct Case
  {
    const char* description;
    std::function<int(Random&)> balancer;
  };
  const Case cases[] = { { "balanced", ToAllHostsEvenly },
                         { "to one host", ToOneHost },
                         { "skewed", MostlyToFourHosts } };
  for (const Case& each : cases) {
    BOOST_TEST_CONTEXT(each.description)
    {
      const double below = AdmittedRate(kPromise / 2, each.balancer, 20s, 60s);
      const double above = AdmittedRate(kPromise * 3, each.balancer, 20s, 60s);
      BOOST_TEST_MESSAGE(each.description
                         << ": offered " << kPromise / 2 << "/s, admitted "
                         << below << "/s; offered " << kPromise * 3
                         << "/s, admitted " << above << "/s; promise "
                         << kPromise << "/s");
      BOOST_TEST(below >= 0.99 * kPromise / 2);
      BOOST_TEST(above <= kPromise * 1.001);
      BOOST_TEST(above >= 0.9 * kPromise);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
