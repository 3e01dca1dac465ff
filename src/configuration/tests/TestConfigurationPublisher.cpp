#include "base/ManualClock.h"
#include "base/SeededRandom.h"
#include "configuration/ConfigurationPublisher.h"
#include "store/MemoryObjectStore.h"
#include "support/ProcessPendingEvents.h"
#include "support/SampleContent.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;

namespace {

using OutcomeKind = ConfigurationPublisher::OutcomeKind;

// Two operators who use one store over connections with independent faults.
struct Operators
{
  struct Operator
  {
    explicit Operator(Operators& aAll, std::string aName)
      : name(std::move(aName))
      , store(aAll.objects)
      , publisher(store, aAll.clock, aAll.random)
    {
    }

    void Publish(const Configuration::Content& aContent,
                 const ConfigurationPublisher::Base& aBase)
    {
      outcome.reset();
      publisher.Publish(
        aContent,
        aBase,
        name,
        [this](const ConfigurationPublisher::Outcome& aOutcome) {
          BOOST_TEST(!outcome.has_value());
          outcome = aOutcome;
        });
    }

    std::string name;
    MemoryObjectStore store;
    ConfigurationPublisher publisher;
    std::optional<ConfigurationPublisher::Outcome> outcome;
  };

  ConfigurationPublisher::Base Base()
  {
    const auto stored = objects->Get(kConfigurationHeadKey);
    if (!stored.value) {
      return {};
    }
    std::string reason;
    return { ConfigurationHead::Parse(stored.value->value, reason),
             stored.value->version };
  }

  void Run(Duration aTime)
  {
    const Instant end = clock.Now() + aTime;
    while (clock.Now() < end) {
      ProcessPendingEvents();
      clock.Advance(std::chrono::milliseconds(100));
      first.publisher.Tick();
      second.publisher.Tick();
    }
    ProcessPendingEvents();
  }

  std::shared_ptr<StoredObjects> objects = std::make_shared<StoredObjects>();
  ManualClock clock;
  SeededRandom random{ 5 };
  Operator first{ *this, "first" };
  Operator second{ *this, "second" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationPublishing, Operators)

BOOST_AUTO_TEST_CASE(EachAcceptedConfigurationHasTheNextRevision)
{
  for (int i = 1; i <= 20; ++i) {
    first.Publish(MakeSampleContent(50, i), Base());
    Run(std::chrono::seconds(1));
    BOOST_TEST_REQUIRE(first.outcome.has_value());
    BOOST_TEST((first.outcome->kind == OutcomeKind::Accepted));
    BOOST_TEST(first.outcome->revision == static_cast<unsigned>(i));
    BOOST_TEST(Base().head->Revision() == static_cast<unsigned>(i));
  }
  BOOST_TEST(Base().head->history.size() == ConfigurationHead::kMaxHistory);
  BOOST_TEST(Base().head->history.front().revision == 19U);
}

// Guards against repeated writes of parts that the store already has.
BOOST_AUTO_TEST_CASE(OnlyChangedPartsAreWritten)
{
  first.Publish(MakeSampleContent(3'000, 0), Base());
  Run(std::chrono::seconds(1));
  BOOST_TEST(first.store.Counts().creates > 8U);
  first.store.ResetCounts();
  first.Publish(MakeSampleContent(3'000, 1), Base());
  Run(std::chrono::seconds(1));
  BOOST_TEST(first.store.Counts().creates == 1U);
  BOOST_TEST(first.store.Counts().updates == 1U);
  BOOST_TEST(first.store.Counts().Reads() == 0U);
}

// Guards against a head that names parts that hosts cannot fetch yet.
BOOST_AUTO_TEST_CASE(TheHeadIsWrittenAfterAllItsParts)
{
  int heads = 0;
  objects->AddListener([&](const StoredObject& aObject) {
    if (aObject.key != kConfigurationHeadKey) {
      return;
    }
    ++heads;
    std::string reason;
    const auto head = ConfigurationHead::Parse(aObject.value, reason);
    BOOST_TEST_REQUIRE(head.has_value(), reason);
    for (const ConfigurationPartReference& part : head->parts) {
      BOOST_TEST(
        objects->Get(ConfigurationParts::KeyOf(part.sha256)).value.has_value());
    }
  });
  StoreFaults faults;
  faults.lateWrites = 3;
  first.store.SetFaults(faults);
  first.Publish(MakeSampleContent(3'000), Base());
  Run(std::chrono::seconds(5));
  BOOST_TEST(heads == 1);
}

BOOST_AUTO_TEST_SUITE(Conflicts)

// Guards against a configuration that overwrites one that its author has not
// read.
BOOST_AUTO_TEST_CASE(AStaleBaseReportsTheAcceptedRevisionAndAuthor)
{
  first.Publish(MakeSampleContent(5, 0), Base());
  Run(std::chrono::seconds(1));
  const ConfigurationPublisher::Base base = Base();
  first.Publish(MakeSampleContent(5, 1), base);
  Run(std::chrono::seconds(1));
  second.Publish(MakeSampleContent(5, 2), base);
  Run(std::chrono::seconds(1));
  BOOST_TEST_REQUIRE(second.outcome.has_value());
  BOOST_TEST((second.outcome->kind == OutcomeKind::Conflict));
  BOOST_TEST(second.outcome->revision == 2U);
  BOOST_TEST(second.outcome->otherAuthor == "first");
  BOOST_TEST(Base().head->acceptance.author == "first");
}

BOOST_AUTO_TEST_CASE(OnlyOneOfTwoConcurrentPublishesIsAccepted)
{
  for (const bool isCreated : { true, false }) {
    const ConfigurationPublisher::Base base = Base();
    BOOST_TEST(base.head.has_value() != isCreated);
    first.Publish(MakeSampleContent(5, 1), base);
    second.Publish(MakeSampleContent(5, 2), base);
    Run(std::chrono::seconds(1));
    BOOST_TEST_REQUIRE(first.outcome.has_value());
    BOOST_TEST_REQUIRE(second.outcome.has_value());
    BOOST_TEST((first.outcome->kind == OutcomeKind::Accepted) !=
               (second.outcome->kind == OutcomeKind::Accepted));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LostResponses)

// Guards against a conflict that is reported to an operator for the operator's
// own write. The lost responses are those of parts, of the first head, or of a
// later one.
BOOST_AUTO_TEST_CASE(AnAcceptedHeadIsFoundByItsNonce)
{
  for (int losses = 1; losses <= 8; ++losses) {
    BOOST_TEST_CONTEXT(losses << " lost responses")
    {
      Operators all;
      for (int i = 0; i < 2; ++i) {
        StoreFaults faults;
        faults.lostWriteResponses = losses;
        all.first.store.SetFaults(faults);
        // The content is equal, so the second time only the head is written.
        all.first.Publish(MakeSampleContent(5), all.Base());
        all.Run(std::chrono::seconds(29));
        BOOST_TEST_REQUIRE(all.first.outcome.has_value());
        BOOST_TEST((all.first.outcome->kind == OutcomeKind::Accepted));
        BOOST_TEST(all.Base().head->Revision() == static_cast<unsigned>(i + 1));
      }
    }
  }
}

// Guards against a false conflict when another configuration follows before
// the head is read back.
BOOST_AUTO_TEST_CASE(AnAcceptedHeadIsFoundInTheHistory)
{
  first.Publish(MakeSampleContent(5, 0), Base());
  Run(std::chrono::seconds(1));
  first.Publish(MakeSampleContent(5, 1), Base());
  // The head is written, and the response to it is still in transit.
  StoreFaults faults;
  faults.lostWriteResponses = 1;
  first.store.SetFaults(faults);
  ProcessPendingEvents();
  BOOST_TEST(Base().head->Revision() == 2U);
  faults.isUnavailable = true;
  first.store.SetFaults(faults);
  second.Publish(MakeSampleContent(5, 2), Base());
  Run(std::chrono::seconds(1));
  BOOST_TEST_REQUIRE(second.outcome.has_value());
  BOOST_TEST(second.outcome->revision == 3U);
  first.store.SetFaults({});
  Run(std::chrono::seconds(10));
  BOOST_TEST_REQUIRE(first.outcome.has_value());
  BOOST_TEST((first.outcome->kind == OutcomeKind::Accepted));
  BOOST_TEST(first.outcome->revision == 2U);
  BOOST_TEST(Base().head->Revision() == 3U);
}

// Guards against a write that takes effect late and reverts a configuration
// that was accepted in the meantime, or is accepted twice.
BOOST_AUTO_TEST_CASE(ALateWriteOfTheHeadTakesEffectAtMostOnce)
{
  first.Publish(MakeSampleContent(5, 0), Base());
  Run(std::chrono::seconds(1));
  StoreFaults faults;
  faults.lateWrites = 2;
  first.store.SetFaults(faults);
  first.Publish(MakeSampleContent(5, 1), Base());
  Run(std::chrono::seconds(10));
  BOOST_TEST_REQUIRE(first.outcome.has_value());
  BOOST_TEST((first.outcome->kind == OutcomeKind::Accepted));
  second.Publish(MakeSampleContent(5, 2), Base());
  Run(std::chrono::seconds(1));
  first.store.ApplyLateWrites();
  BOOST_TEST(Base().head->Revision() == 3U);
  BOOST_TEST(Base().head->acceptance.author == "second");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(StoreOutage)

BOOST_AUTO_TEST_CASE(WithoutASentWriteTheOutcomeIsUnavailable)
{
  StoreFaults faults;
  faults.isUnavailable = true;
  first.store.SetFaults(faults);
  first.Publish(MakeSampleContent(5), Base());
  Run(std::chrono::seconds(40));
  BOOST_TEST_REQUIRE(first.outcome.has_value());
  BOOST_TEST((first.outcome->kind == OutcomeKind::Unavailable));
  BOOST_TEST(first.outcome->reason == "store is away");
}

// Guards against an outcome that says that nothing changed while a write may
// still take effect.
BOOST_AUTO_TEST_CASE(ALostResponseWithoutReadBackIsUnknown)
{
  first.Publish(MakeSampleContent(5, 0), Base());
  Run(std::chrono::seconds(1));
  first.Publish(MakeSampleContent(5, 1), Base());
  StoreFaults faults;
  faults.lateWrites = 1;
  first.store.SetFaults(faults);
  ProcessPendingEvents();
  faults.isUnavailable = true;
  first.store.SetFaults(faults);
  Run(std::chrono::seconds(40));
  BOOST_TEST_REQUIRE(first.outcome.has_value());
  BOOST_TEST((first.outcome->kind == OutcomeKind::Unknown));
}

BOOST_AUTO_TEST_CASE(PublishingContinuesAfterAShortOutage)
{
  StoreFaults faults;
  faults.isUnavailable = true;
  first.store.SetFaults(faults);
  first.Publish(MakeSampleContent(500), Base());
  Run(std::chrono::seconds(8));
  BOOST_TEST(!first.outcome.has_value());
  first.store.SetFaults({});
  Run(std::chrono::seconds(8));
  BOOST_TEST_REQUIRE(first.outcome.has_value());
  BOOST_TEST((first.outcome->kind == OutcomeKind::Accepted));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an accepted configuration that no host can fetch.
BOOST_AUTO_TEST_CASE(ADamagedPartInTheStoreIsRepaired)
{
  std::string reason;
  const auto parts = ConfigurationParts::Split(MakeSampleContent(5), reason);
  const std::string key = ConfigurationParts::KeyOf(parts->back().sha256);
  objects->Create(key, "damaged");
  first.Publish(MakeSampleContent(5), Base());
  Run(std::chrono::seconds(1));
  BOOST_TEST_REQUIRE(first.outcome.has_value());
  BOOST_TEST((first.outcome->kind == OutcomeKind::Accepted));
  BOOST_TEST(objects->Get(key).value->value == *parts->back().text);
}

BOOST_AUTO_TEST_SUITE_END()
