#include "slots/FairQueue.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace filbertbeam;

namespace {

// Serves aRounds requests while every customer always has one queued, and
// counts them by customer.
std::map<std::string, int>
ServeBacklogged(const std::map<std::string, double>& aWeights, int aRounds)
{
  FairQueue queue;
  std::map<std::uint64_t, std::string> customers;
  std::uint64_t next = 1;
  for (const auto& [customer, weight] : aWeights) {
    for (int i = 0; i < aRounds; ++i) {
      customers[next] = customer;
      queue.Push(next++, customer, weight, true);
    }
  }
  std::map<std::string, int> served;
  for (int i = 0; i < aRounds; ++i) {
    served[customers.at(*queue.Pop())] += 1;
  }
  return served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FairQueueOverCustomers)

// Guards against one customer that monopolizes the queue by sending more
// requests.
BOOST_AUTO_TEST_CASE(BackloggedCustomersAreServedByWeight)
{
  const auto served =
    ServeBacklogged({ { "one", 1 }, { "two", 2 }, { "four", 4 } }, 700);
  BOOST_TEST(std::abs(served.at("one") - 100) <= 1);
  BOOST_TEST(std::abs(served.at("two") - 200) <= 1);
  BOOST_TEST(std::abs(served.at("four") - 400) <= 1);
}

// Guards against a customer that waits behind the backlog of another one.
BOOST_AUTO_TEST_CASE(ANewCustomerDoesNotWaitBehindABacklog)
{
  FairQueue queue;
  for (std::uint64_t id = 1; id <= 1000; ++id) {
    queue.Push(id, "heavy", 10, true);
  }
  for (int i = 0; i < 500; ++i) {
    queue.Pop();
  }
  queue.Push(5000, "light", 10, true);
  std::vector<std::uint64_t> served{ *queue.Pop(), *queue.Pop() };
  BOOST_TEST((served[0] == 5000 || served[1] == 5000));
}

// Guards against a customer that accumulates credit while idle and then delays
// the others.
BOOST_AUTO_TEST_CASE(IdleCustomersAccumulateNoCredit)
{
  FairQueue queue;
  std::uint64_t id = 1;
  for (int i = 0; i < 2000; ++i) {
    queue.Push(id++, "busy", 1, true);
  }
  for (int i = 0; i < 1000; ++i) {
    queue.Pop();
  }
  const std::uint64_t firstLate = id;
  for (int i = 0; i < 100; ++i) {
    queue.Push(id++, "late", 1, true);
  }
  int late = 0;
  for (int i = 0; i < 100; ++i) {
    late += *queue.Pop() >= firstLate ? 1 : 0;
  }
  BOOST_TEST(late >= 49);
  BOOST_TEST(late <= 51);
}

// Guards against reordering of a customer's own requests.
BOOST_AUTO_TEST_CASE(ACustomersOwnRequestsKeepTheirOrder)
{
  FairQueue queue;
  for (std::uint64_t id = 1; id <= 5; ++id) {
    queue.Push(id, "only", 1, true);
  }
  for (std::uint64_t id = 1; id <= 5; ++id) {
    BOOST_TEST(*queue.Pop() == id);
  }
  BOOST_TEST(queue.IsEmpty());
}

// Guards against charging a customer for requests that were refused or
// cancelled.
BOOST_AUTO_TEST_CASE(RemovedRequestsAreNotCharged)
{
  FairQueue queue;
  for (std::uint64_t id = 1; id <= 101; ++id) {
    queue.Push(id, "impatient", 1, true);
    queue.Push(1000 + id, "patient", 1, true);
  }
  for (std::uint64_t id = 1; id <= 100; ++id) {
    BOOST_TEST(queue.Remove(id));
  }
  BOOST_TEST(!queue.Remove(1));
  BOOST_TEST(queue.SizeOf("impatient") == 1U);
  const std::vector<std::uint64_t> served{ *queue.Pop(), *queue.Pop() };
  BOOST_TEST((served[0] == 101 || served[1] == 101));
}

// Guards against a trial with a request that may run at most once.
BOOST_AUTO_TEST_CASE(OnlyIdempotentRequestsAreTakenForTrials)
{
  FairQueue queue;
  queue.Push(1, "first", 1, false);
  BOOST_TEST(!queue.PopIdempotent().has_value());
  queue.Push(2, "second", 1, true);
  BOOST_TEST(*queue.PopIdempotent() == 2U);
  BOOST_TEST(*queue.Pop() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
