#include "base/MemoryBudget.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace filbertbeam;

namespace {

struct BudgetFixture
{
  MemoryBudget budget{ 100 };
  MemoryReservation first{ budget };
  MemoryReservation second{ budget };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AMemoryBudget, BudgetFixture)

BOOST_AUTO_TEST_CASE(IsSharedByAllReservations)
{
  BOOST_TEST(first.GrowTo(60));
  BOOST_TEST(!second.GrowTo(41));
  BOOST_TEST(second.Bytes() == 0U);
  BOOST_TEST(second.GrowTo(40));
  BOOST_TEST(budget.Used() == 100U);
  BOOST_TEST(!first.GrowTo(std::numeric_limits<std::size_t>::max()));
  // What is reserved already costs nothing.
  BOOST_TEST(first.GrowTo(60));
}

BOOST_AUTO_TEST_CASE(GetsBackWhatIsReturned)
{
  BOOST_TEST(first.GrowTo(100));
  first.ShrinkTo(30);
  BOOST_TEST(second.GrowTo(70));
  first.ShrinkTo(50);
  BOOST_TEST(first.Bytes() == 30U);
  {
    MemoryReservation third(budget);
    first.ShrinkTo(0);
    BOOST_TEST(third.GrowTo(30));
  }
  BOOST_TEST(budget.Used() == 70U);
}

BOOST_AUTO_TEST_CASE(KeepsAReserveForOwnersThatAskForOne)
{
  BOOST_TEST(first.GrowTo(75, 25));
  BOOST_TEST(!first.GrowTo(76, 25));
  BOOST_TEST(!second.GrowTo(1, 25));
  BOOST_TEST(second.GrowTo(25));
  BOOST_TEST(!second.GrowTo(26, 1));
}

BOOST_AUTO_TEST_CASE(CountsAReservationOnceWhenItIsPassedOn)
{
  {
    MemoryReservation third(budget);
    BOOST_TEST(third.GrowTo(100));
    const MemoryReservation moved(std::move(third));
    BOOST_TEST(moved.Bytes() == 100U);
  }
  BOOST_TEST(budget.Used() == 0U);
  BOOST_TEST(first.GrowTo(30));
  BOOST_TEST(second.GrowTo(20));
  first.Take(second);
  BOOST_TEST(first.Bytes() == 50U);
  BOOST_TEST(second.Bytes() == 0U);
  BOOST_TEST(budget.Used() == 50U);
}

BOOST_AUTO_TEST_SUITE_END()
