#include "base/Log.h"
#include "base/ManualClock.h"
#include "base/SeededRandom.h"
#include "configuration/ConfigurationFollower.h"
#include "configuration/ConfigurationPublisher.h"
#include "configuration/ConfigurationWriter.h"
#include "store/MemoryObjectStore.h"
#include "support/PeerSource.h"
#include "support/ProcessPendingEvents.h"
#include "support/SampleContent.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <thread>

using namespace filbertbeam;

namespace {

int
VariantOf(const Configuration& aConfiguration)
{
  return static_cast<int>(
           aConfiguration.FindContract("customer-000000")->requestsPerSecond) -
         1;
}

// One host: a follower with its own connection to the store. Checks at every
// change that the revision increases.
struct Host
{
  Host(const std::shared_ptr<StoredObjects>& aObjects,
       const Clock& aClock,
       Random& aRandom,
       int aIndex)
    : clock(aClock)
    , random(aRandom)
    , store(aObjects)
    , source(std::make_shared<PeerSource>(fmt::format("host-{}", aIndex), self))
  {
    Start();
  }

  void Start(WorkRunner aRunner = &RunInline)
  {
    configuration.reset();
    follower = std::make_unique<ConfigurationFollower>(
      store,
      clock,
      random,
      [this](const ConfigurationFollower::InForce& aInForce) {
        const std::uint64_t before =
          configuration ? configuration->Revision() : 0;
        BOOST_TEST_REQUIRE(aInForce.configuration->Revision() > before);
        BOOST_TEST(aInForce.configuration->Revision() == follower->Revision());
        configuration = aInForce.configuration;
        last = aInForce;
        variants[configuration->Revision()] = VariantOf(*configuration);
      },
      std::move(aRunner));
    *self = follower.get();
    follower->SetWatcher(isWatcher);
  }

  void Stop()
  {
    *self = nullptr;
    follower.reset();
  }

  const Clock& clock;
  Random& random;
  MemoryObjectStore store;
  std::shared_ptr<ConfigurationFollower*> self =
    std::make_shared<ConfigurationFollower*>(nullptr);
  std::shared_ptr<PeerSource> source;
  bool isWatcher = false;
  std::unique_ptr<ConfigurationFollower> follower;
  std::shared_ptr<const Configuration> configuration;
  ConfigurationFollower::InForce last;
  // The variants by revision that this host has had in force, across restarts.
  std::map<std::uint64_t, int> variants;
};

struct Fleet
{
  Fleet() { SetLogLevel(LogLevel::Error); }
  ~Fleet() { SetLogLevel(LogLevel::Info); }

  Host& AddHost(bool aIsWatcher = false)
  {
    hosts.push_back(std::make_unique<Host>(
      objects, clock, random, static_cast<int>(hosts.size())));
    hosts.back()->isWatcher = aIsWatcher;
    hosts.back()->follower->SetWatcher(aIsWatcher);
    return *hosts.back();
  }

  ConfigurationPublisher::Base Base() const
  {
    const auto stored = objects->Get(kConfigurationHeadKey);
    if (!stored.value) {
      return {};
    }
    std::string reason;
    return { ConfigurationHead::Parse(stored.value->value, reason),
             stored.value->version };
  }

  void Publish(int aVariant, int aContracts = 500)
  {
    MemoryObjectStore store(objects);
    ConfigurationPublisher publisher(store, clock, random);
    bool isAccepted = false;
    publisher.Publish(MakeSampleContent(aContracts, aVariant),
                      Base(),
                      "operator",
                      [&](const ConfigurationPublisher::Outcome& aOutcome) {
                        isAccepted =
                          aOutcome.kind ==
                          ConfigurationPublisher::OutcomeKind::Accepted;
                      });
    ProcessPendingEvents();
    BOOST_TEST_REQUIRE(isAccepted);
  }

  void Step()
  {
    ProcessPendingEvents();
    clock.Advance(std::chrono::milliseconds(100));
    for (const auto& host : hosts) {
      if (host->follower) {
        host->follower->Tick();
      }
    }
    ProcessPendingEvents();
  }

  void Run(Duration aTime)
  {
    const Instant end = clock.Now() + aTime;
    while (clock.Now() < end) {
      Step();
    }
  }

  // Runs for aTime while aHost receives reports of aFrom's revision.
  void ReceiveReports(Host& aHost, Host& aFrom, Duration aTime)
  {
    const Instant end = clock.Now() + aTime;
    while (clock.Now() < end) {
      if (aFrom.follower) {
        aHost.follower->OnRevisionReported(aFrom.follower->Revision(),
                                           aFrom.source);
      }
      Step();
    }
  }

  std::shared_ptr<StoredObjects> objects = std::make_shared<StoredObjects>();
  ManualClock clock;
  SeededRandom random{ 17 };
  std::vector<std::unique_ptr<Host>> hosts;
};

StoreFaults
StoreOutage()
{
  StoreFaults faults;
  faults.isUnavailable = true;
  return faults;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationFollowing, Fleet)

BOOST_AUTO_TEST_SUITE(FromTheStore)

BOOST_AUTO_TEST_CASE(AWatcherPutsEachRevisionInForceAndReportsItsAge)
{
  Host& watcher = AddHost(true);
  Publish(0);
  Run(std::chrono::seconds(1));
  BOOST_TEST(watcher.follower->Revision() == 1U);
  BOOST_TEST(watcher.last.acceptance.author == "operator");
  BOOST_TEST(watcher.last.source == "store");

  watcher.store.SetFaults(StoreOutage());
  Publish(1);
  Run(std::chrono::seconds(3));
  BOOST_TEST(watcher.follower->Revision() == 1U);
  BOOST_TEST(watcher.follower->LastReason() == "watch: store is away");
  watcher.store.SetFaults({});
  Run(std::chrono::seconds(6));
  BOOST_TEST(watcher.follower->Revision() == 2U);
  BOOST_TEST((watcher.last.sinceAcceptance >= std::chrono::seconds(3)));
  BOOST_TEST((watcher.last.sinceAcceptance <= std::chrono::seconds(9)));
  BOOST_TEST(watcher.follower->LastReason().empty());
}

// Guards against a load on the store that grows with the fleet: only watchers
// watch the store.
BOOST_AUTO_TEST_CASE(AHostThatIsNotAWatcherDoesNotReadTheStore)
{
  Publish(0);
  Host& host = AddHost();
  Run(std::chrono::seconds(3));
  BOOST_TEST(host.follower->Revision() == 1U);
  host.store.ResetCounts();
  Publish(1);
  Run(std::chrono::seconds(120));
  BOOST_TEST(host.follower->Revision() == 1U);
  BOOST_TEST(host.store.Counts().Reads() == 0U);
}

// Guards against hosts that overload the store with retries during an outage.
BOOST_AUTO_TEST_CASE(RetriesBackOffToACappedDelay)
{
  Host& watcher = AddHost(true);
  watcher.store.SetFaults(StoreOutage());
  Run(std::chrono::seconds(30));
  watcher.store.ResetCounts();
  Run(std::chrono::seconds(60));
  // One watch and one read of the head per 2.5 to 5 s.
  BOOST_TEST(watcher.store.Counts().Reads() <= 50U);
  BOOST_TEST(watcher.store.Counts().Reads() >= 24U);
}

// Guards against a host that waits forever for a watch that gets no response.
BOOST_AUTO_TEST_CASE(AStaleWatchIsRestarted)
{
  Host& watcher = AddHost(true);
  Publish(0);
  Run(std::chrono::seconds(1));
  StoreFaults slow;
  slow.delay = std::chrono::hours(1);
  watcher.store.SetFaults(slow);
  Publish(1);
  Run(std::chrono::seconds(20));
  BOOST_TEST(watcher.follower->Revision() == 1U);
  watcher.store.SetFaults({});
  Run(ConfigurationFollower::kWatchTimeout + std::chrono::seconds(10));
  BOOST_TEST(watcher.follower->Revision() == 2U);
}

// Guards against a change that the fleet gets after the 19 s that the
// propagation of a configuration may take: the response to the watch was lost.
BOOST_AUTO_TEST_CASE(AChangeBehindALostResponseIsInForceInTime)
{
  Host& watcher = AddHost(true);
  Publish(0);
  Run(std::chrono::seconds(1));
  StoreFaults lost;
  lost.delay = std::chrono::hours(1);
  watcher.store.SetFaults(lost);
  Publish(1);
  watcher.store.SetFaults({});
  Run(std::chrono::seconds(19));
  BOOST_TEST(watcher.follower->Revision() == 2U);
}

// Guards against a watch that polls the store in a tight loop, and against a
// return to an earlier revision after the store was restored from an earlier
// state.
BOOST_AUTO_TEST_CASE(ARestoredOlderHeadIsIgnored)
{
  Publish(0);
  const std::string earlier = objects->Get(kConfigurationHeadKey).value->value;
  Publish(1);
  Host& watcher = AddHost(true);
  Run(std::chrono::seconds(1));
  BOOST_TEST(watcher.follower->Revision() == 2U);
  const auto stored = objects->Get(kConfigurationHeadKey);
  objects->Update(kConfigurationHeadKey, earlier, stored.value->version);
  Run(std::chrono::seconds(100));
  BOOST_TEST(watcher.follower->Revision() == 2U);
  BOOST_TEST(watcher.store.Counts().watches < 20U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FromOtherHosts)

BOOST_AUTO_TEST_CASE(AStartingHostDoesNotNeedTheStore)
{
  Host& first = AddHost(true);
  Publish(0);
  Run(std::chrono::seconds(1));
  Host& second = AddHost();
  second.store.SetFaults(StoreOutage());
  ReceiveReports(second, first, std::chrono::seconds(1));
  BOOST_TEST(second.follower->Revision() == 1U);
  BOOST_TEST(second.last.source == "host-0");
  BOOST_TEST((second.configuration->Data() == first.configuration->Data()));
}

// Guards against a host that fetches a complete configuration of 16 MB for one
// changed contract.
BOOST_AUTO_TEST_CASE(OnlyChangedPartsAreFetched)
{
  Host& first = AddHost(true);
  Host& second = AddHost();
  Publish(0, 3'000);
  Run(std::chrono::seconds(1));
  ReceiveReports(second, first, std::chrono::seconds(1));
  first.source->partRequests = 0;
  Publish(1, 3'000);
  Run(std::chrono::seconds(1));
  ReceiveReports(second, first, std::chrono::seconds(1));
  BOOST_TEST(second.follower->Revision() == 2U);
  BOOST_TEST(first.source->partRequests == 1);
}

// Guards against a faulty host that keeps others from getting a configuration,
// and against a configuration that is put in force incomplete.
BOOST_AUTO_TEST_CASE(TheNextSourceReplacesAFaultyOne)
{
  for (const PeerFault fault : { PeerFault::Unresponsive,
                                 PeerFault::Unavailable,
                                 PeerFault::TruncatedPart,
                                 PeerFault::WrongPart,
                                 PeerFault::MissingPart,
                                 PeerFault::TruncatedHead,
                                 PeerFault::OldHead }) {
    BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault))
    {
      Fleet fleet;
      Host& faulty = fleet.AddHost(true);
      Host& healthy = fleet.AddHost(true);
      Host& host = fleet.AddHost();
      fleet.Publish(0);
      fleet.Run(std::chrono::seconds(1));
      faulty.source->oldHead = *faulty.follower->HeadText();
      fleet.ReceiveReports(host, healthy, std::chrono::seconds(1));
      BOOST_TEST(host.follower->Revision() == 1U);
      host.store.SetFaults(StoreOutage());
      fleet.Publish(1);
      fleet.Run(std::chrono::seconds(1));

      faulty.source->fault = fault;
      fleet.ReceiveReports(host, faulty, std::chrono::seconds(5));
      BOOST_TEST(host.follower->Revision() == 1U);
      BOOST_TEST(!host.follower->LastReason().empty());
      BOOST_TEST(faulty.source->headRequests <= 20);
      host.follower->OnRevisionReported(2, healthy.source);
      fleet.ReceiveReports(host, faulty, std::chrono::seconds(5));
      BOOST_TEST(host.follower->Revision() == 2U);
      BOOST_TEST(host.last.source == "host-1");
    }
  }
}

BOOST_AUTO_TEST_CASE(TheStoreIsReadWhenNoHostResponds)
{
  Host& first = AddHost(true);
  Host& second = AddHost();
  Publish(0);
  Run(std::chrono::seconds(1));
  first.source->fault = PeerFault::Unresponsive;
  ReceiveReports(second, first, std::chrono::seconds(5));
  BOOST_TEST(second.follower->Revision() == 1U);
  BOOST_TEST(second.last.source == "store");
}

// Guards against attempts that fetch all parts again after each failure: a host
// then never gets a complete configuration from a slow source.
BOOST_AUTO_TEST_CASE(VerifiedPartsAreKeptAfterAFailedAttempt)
{
  Host& first = AddHost(true);
  Host& second = AddHost();
  second.store.SetFaults(StoreOutage());
  Publish(0, 3'000);
  Run(std::chrono::seconds(1));
  const int all = static_cast<int>(Base().head->parts.size());
  BOOST_TEST_REQUIRE(all > 6);
  first.source->partsUntilUnresponsive = all / 2;
  second.follower->OnRevisionReported(1, first.source);
  Run(std::chrono::seconds(5));
  BOOST_TEST(second.follower->Revision() == 0U);
  first.source->partsUntilUnresponsive = -1;
  first.source->partRequests = 0;
  ReceiveReports(second, first, std::chrono::seconds(6));
  BOOST_TEST(second.follower->Revision() == 1U);
  BOOST_TEST(first.source->partRequests == all - all / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(JoiningOnAnotherThread)

// Guards against a control thread that blocks while 80,000 contracts are
// parsed, for longer than other hosts wait for its heartbeats.
BOOST_AUTO_TEST_CASE(DoesNotBlockTheCallingThread)
{
  Host& host = AddHost();
  std::function<void()> work;
  std::function<void()> done;
  int joins = 0;
  host.Stop();
  host.isWatcher = true;
  host.Start([&](std::function<void()> aWork, std::function<void()> aDone) {
    ++joins;
    work = std::move(aWork);
    done = std::move(aDone);
  });
  Publish(0);
  // Longer than the response timeout of a source.
  Run(std::chrono::seconds(20));
  BOOST_TEST(joins == 1);
  BOOST_TEST(host.follower->Revision() == 0U);
  Publish(1);
  Run(std::chrono::seconds(1));
  BOOST_TEST(joins == 1);
  work();
  std::exchange(done, nullptr)();
  BOOST_TEST(host.follower->Revision() == 1U);
  Run(std::chrono::seconds(1));
  BOOST_TEST(joins == 2);
  work();
  std::exchange(done, nullptr)();
  BOOST_TEST(host.follower->Revision() == 2U);
}

// Guards against a result that arrives after the follower was destroyed.
BOOST_AUTO_TEST_CASE(AStoppedHostIgnoresALateResult)
{
  Host& host = AddHost();
  host.Stop();
  host.isWatcher = true;
  std::function<void()> work;
  std::function<void()> done;
  host.Start([&](std::function<void()> aWork, std::function<void()> aDone) {
    work = std::move(aWork);
    done = std::move(aDone);
  });
  Publish(0);
  Run(std::chrono::seconds(1));
  BOOST_TEST_REQUIRE(static_cast<bool>(work));
  host.Stop();
  work();
  done();
  BOOST_TEST(!host.configuration);
}

BOOST_AUTO_TEST_CASE(BackgroundWorkerUsesItsOwnThread)
{
  BackgroundWorker background;
  Host& host = AddHost();
  host.Stop();
  host.isWatcher = true;
  host.Start([&](std::function<void()> aWork, std::function<void()> aDone) {
    background.Run(std::move(aWork), std::move(aDone));
  });
  Publish(0);
  // Waits in real time, at most 10 s.
  for (int i = 0; i < 1'000 && host.follower->Revision() == 0; ++i) {
    Step();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(host.follower->Revision() == 1U);

  std::thread::id worker;
  bool isDone = false;
  background.Run([&] { worker = std::this_thread::get_id(); },
                 [&] { isDone = true; });
  for (int i = 0; i < 1'000 && !isDone; ++i) {
    ProcessPendingEvents();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(isDone);
  BOOST_TEST((worker != std::this_thread::get_id()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RandomScenarios)

// Publishers compete with stale bases, responses get lost or writes take effect
// late, the store becomes unavailable, and hosts restart or serve old heads.
struct RandomScenario
{
  explicit RandomScenario(std::uint64_t aSeed)
    : random(aSeed)
  {
    objects->AddListener([this](const StoredObject& aObject) {
      if (aObject.key != kConfigurationHeadKey) {
        return;
      }
      std::string reason;
      const auto head = ConfigurationHead::Parse(aObject.value, reason);
      BOOST_TEST_REQUIRE(head.has_value(), reason);
      // The revision of every accepted head follows the one before it.
      BOOST_TEST_REQUIRE(head->Revision() == heads.size() + 1);
      heads.push_back(aObject.value);
    });
    for (int i = 0; i < 5; ++i) {
      fleet.AddHost(i < 2);
    }
    for (int i = 0; i < 3; ++i) {
      operators.push_back(std::make_unique<Operator>(fleet, objects));
    }
  }

  struct Operator
  {
    Operator(Fleet& aFleet, const std::shared_ptr<StoredObjects>& aObjects)
      : store(aObjects)
      , publisher(store, aFleet.clock, aFleet.random)
    {
    }

    MemoryObjectStore store;
    ConfigurationPublisher publisher;
    ConfigurationPublisher::Base base;
    bool isBusy = false;
  };

  void StartPublish(Operator& aOperator)
  {
    if (aOperator.isBusy) {
      return;
    }
    // In one of three cases, the base may no longer be the latest.
    if (random.Below(3) > 0) {
      aOperator.base = fleet.Base();
    }
    const int variant = ++variants;
    aOperator.isBusy = true;
    aOperator.publisher.Publish(
      MakeSampleContent(2, variant),
      aOperator.base,
      "operator",
      [this, &aOperator, variant](
        const ConfigurationPublisher::Outcome& aOutcome) {
        using Kind = ConfigurationPublisher::OutcomeKind;
        aOperator.isBusy = false;
        if (aOutcome.kind == Kind::Accepted) {
          const bool isFirst =
            accepted.emplace(aOutcome.revision, variant).second;
          BOOST_TEST_REQUIRE(isFirst);
        } else if (aOutcome.kind != Kind::Unknown) {
          rejected.insert(variant);
        } else {
          ++unknown;
        }
      });
  }

  void PerformRandomAction()
  {
    Host& host = *fleet.hosts[random.Below(fleet.hosts.size())];
    Host& other = *fleet.hosts[random.Below(fleet.hosts.size())];
    Operator& anOperator = *operators[random.Below(operators.size())];
    switch (random.Below(9)) {
      case 0:
      case 1:
        StartPublish(anOperator);
        break;
      case 2: {
        StoreFaults faults;
        faults.isUnavailable = random.Below(3) == 0;
        faults.lostWriteResponses = static_cast<int>(random.Below(3));
        faults.lateWrites = static_cast<int>(random.Below(2));
        anOperator.store.SetFaults(faults);
        break;
      }
      case 3:
        anOperator.store.ApplyLateWrites();
        break;
      case 4: {
        StoreFaults faults;
        faults.isUnavailable = random.Below(2) == 0;
        host.store.SetFaults(faults);
        break;
      }
      case 5:
        if (random.Below(4) == 0) {
          host.Stop();
          host.Start();
          ++restarts;
        }
        break;
      case 6:
        host.source->fault = static_cast<PeerFault>(random.Below(8));
        if (!heads.empty()) {
          host.source->oldHead = heads[random.Below(heads.size())];
        }
        break;
      default:
        // The reported revision may be wrong; only the head is relied on.
        host.follower->OnRevisionReported(
          other.follower->Revision() + random.Below(2), other.source);
    }
    fleet.clock.Advance(std::chrono::milliseconds(random.Below(800)));
    if (random.Below(2) == 0) {
      ProcessPendingEvents();
    }
    for (const auto& each : operators) {
      each->publisher.Tick();
    }
    for (const auto& each : fleet.hosts) {
      each->follower->Tick();
    }
  }

  void ClearFaultsAndRun()
  {
    for (const auto& each : operators) {
      each->store.ApplyLateWrites();
      each->store.SetFaults({});
    }
    for (const auto& each : fleet.hosts) {
      each->store.SetFaults({});
      each->source->fault = PeerFault::None;
    }
    for (int i = 0; i < 500; ++i) {
      for (const auto& each : operators) {
        each->publisher.Tick();
      }
      for (const auto& host : fleet.hosts) {
        for (const auto& other : fleet.hosts) {
          host->follower->OnRevisionReported(other->follower->Revision(),
                                             other->source);
        }
      }
      fleet.Step();
    }
  }

  void Check()
  {
    std::map<std::uint64_t, int> inForce;
    for (const auto& host : fleet.hosts) {
      BOOST_TEST_REQUIRE(host->follower->Revision() == heads.size());
      for (const auto& [revision, variant] : host->variants) {
        const int expected = inForce.emplace(revision, variant).first->second;
        BOOST_TEST_REQUIRE(variant == expected);
        BOOST_TEST_REQUIRE(!rejected.contains(variant));
      }
    }
    for (const auto& [revision, variant] : accepted) {
      const auto found = inForce.find(revision);
      if (found != inForce.end()) {
        BOOST_TEST_REQUIRE(found->second == variant);
      }
    }
  }

  SeededRandom random;
  Fleet fleet;
  std::shared_ptr<StoredObjects> objects = fleet.objects;
  std::vector<std::string> heads;
  std::vector<std::unique_ptr<Operator>> operators;
  std::map<std::uint64_t, int> accepted;
  std::set<int> rejected;
  int variants = 0;
  int unknown = 0;
  int restarts = 0;
};

// Guards against a host that goes back to an earlier revision, two hosts with
// different content for one revision, and a reported outcome that is wrong.
BOOST_AUTO_TEST_CASE(NeverRevertAndEndAtTheLatestRevision)
{
  std::size_t accepted = 0;
  std::size_t rejected = 0;
  int restarts = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      RandomScenario scenario(seed);
      for (int i = 0; i < 400; ++i) {
        scenario.PerformRandomAction();
      }
      scenario.ClearFaultsAndRun();
      scenario.Check();
      accepted += scenario.accepted.size();
      rejected += scenario.rejected.size();
      restarts += scenario.restarts;
    }
  }
  // Checks that the scenarios include accepted and rejected publishes and
  // restarts.
  BOOST_TEST_MESSAGE("accepted " << accepted << " rejected " << rejected
                                 << " restarts " << restarts);
  BOOST_TEST(accepted > 100U);
  BOOST_TEST(rejected > 100U);
  BOOST_TEST(restarts > 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
