#include "base/ManualClock.h"
#include "catalog/OutdatedWrites.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

constexpr const char* kRun = "run";
constexpr const char* kNumber = "number";
constexpr const char* kState = "state";
const std::string kName = "i-1";

class StatusNumberOrder final : public WriteOrder
{
public:
  WriteStamp ReadStamp(const CatalogObject& aObject) const override
  {
    const QJsonObject& status =
      aObject.status.isEmpty() ? aObject.content : aObject.status;
    return { aObject.content[kRun].toInteger(),
             static_cast<std::uint64_t>(status[kNumber].toInteger()) };
  }
};

struct OutdatedWritesFixture
{
  OutdatedWritesFixture()
    : writes("servers", &order, clock, [this] { ++expiries; })
  {
  }

  // Reads a version of the object, with content and status written separately.
  void Read(int aRun, int aNumber, const char* aState)
  {
    CatalogObject object;
    object.name = kName;
    object.version = { generation, ++revision };
    object.content = { { kRun, aRun } };
    object.status = { { kNumber, aNumber }, { kState, aState } };
    ReadObject(object);
  }

  void ReadObject(const CatalogObject& aObject)
  {
    known = writes.Resolve(known ? &*known : nullptr, aObject);
  }

  std::string State() const
  {
    return known->status[kState].toString().toStdString();
  }
  qint64 Run() const { return known->content[kRun].toInteger(); }

  ManualClock clock;
  StatusNumberOrder order;
  int expiries = 0;
  OutdatedWrites writes;
  std::uint64_t generation = 1;
  std::uint64_t revision = 10;
  std::optional<CatalogObject> known;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OutdatedWritesOfAnObject, OutdatedWritesFixture)

BOOST_AUTO_TEST_SUITE(InOneRun)

// Guards against a statement that a late write takes back.
BOOST_AUTO_TEST_CASE(DoNotReplaceLaterOnes)
{
  Read(1, 1, "ready");
  Read(1, 5, "draining");
  Read(1, 2, "ready");
  BOOST_TEST(State() == "draining");
  BOOST_TEST((known->version == CatalogVersion{ 1, 13 }));
  // The same version may be read again, by a list.
  --revision;
  Read(1, 2, "ready");
  BOOST_TEST(State() == "draining");
}

// Guards against a writer whose next statement is not believed.
BOOST_AUTO_TEST_CASE(AreReplacedByTheNextWrite)
{
  Read(1, 5, "draining");
  Read(1, 2, "ready");
  Read(1, 6, "ready");
  BOOST_TEST(State() == "ready");
  Read(1, 7, "draining");
  BOOST_TEST(State() == "draining");
}

// Guards against late writes by writers that write both parts at once.
BOOST_AUTO_TEST_CASE(DoNotReplaceLaterOnesWithoutASeparateStatus)
{
  CatalogObject object;
  object.name = kName;
  object.version = { 1, 11 };
  object.content = { { kRun, 1 }, { kNumber, 5 }, { kState, "draining" } };
  ReadObject(object);
  object.version = { 1, 12 };
  object.content = { { kRun, 1 }, { kNumber, 4 }, { kState, "ready" } };
  ReadObject(object);
  BOOST_TEST(known->content[kState].toString().toStdString() == "draining");
}

// Writers without a start, or another writer's objects, cannot be ordered.
BOOST_AUTO_TEST_CASE(CountIfTheRunIsUnknown)
{
  Read(0, 5, "draining");
  Read(0, 2, "ready");
  BOOST_TEST(State() == "ready");
}

// Guards against an object that is wrong for good, since its numbers are not
// what they should be.
BOOST_AUTO_TEST_CASE(CountAfterTheRetention)
{
  Read(1, 5, "draining");
  Read(1, 2, "ready");
  clock.Advance(kOutdatedWriteRetention - 1s);
  BOOST_TEST(writes.TakeExpired().empty());
  Read(1, 3, "ready");
  BOOST_TEST(State() == "draining");
  clock.Advance(1s);
  const auto expired = writes.TakeExpired();
  BOOST_TEST_REQUIRE(expired.size() == 1U);
  known = expired.at(kName);
  BOOST_TEST(State() == "ready");
  Read(1, 4, "draining");
  BOOST_TEST(State() == "draining");
}

BOOST_AUTO_TEST_CASE(CountAfterTheObjectWasRemoved)
{
  Read(1, 5, "draining");
  writes.Forget(kName);
  known.reset();
  Read(1, 2, "ready");
  BOOST_TEST(State() == "ready");
}

// A restored catalog shows earlier writes for another reason.
BOOST_AUTO_TEST_CASE(CountInALaterGeneration)
{
  Read(1, 5, "draining");
  generation = 2;
  Read(1, 2, "ready");
  BOOST_TEST(State() == "ready");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAnEarlierRun)

// Guards against requests to the address of a run that has ended.
BOOST_AUTO_TEST_CASE(DoNotReplaceThoseOfTheLaterRun)
{
  Read(1, 40, "ready");
  Read(2, 1, "ready");
  Read(1, 38, "draining");
  BOOST_TEST(Run() == 2);
  BOOST_TEST(State() == "ready");
}

// Guards against statements of the later run that are lost while the catalog
// shows the content of the earlier one.
BOOST_AUTO_TEST_CASE(DoNotHideTheStatusOfTheLaterRun)
{
  Read(1, 40, "ready");
  Read(2, 1, "ready");
  Read(1, 38, "ready");
  // The later run writes its status only.
  Read(1, 2, "draining");
  BOOST_TEST(Run() == 2);
  BOOST_TEST(State() == "draining");
}

// Guards against a run whose first numbers are compared with those of the
// earlier run, whose status is still shown for a moment.
BOOST_AUTO_TEST_CASE(DoNotCountForTheNumbersOfTheLaterRun)
{
  Read(1, 40, "ready");
  Read(2, 40, "ready");
  Read(2, 1, "draining");
  BOOST_TEST(State() == "draining");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
