#include "claims/tests/support/ClaimHost.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kShortTimeout(30);
const ClaimRequest kRequest{ "customer", "key-1", "fingerprint" };

// Two hosts that share a store.
struct Fleet
{
  std::shared_ptr<StoredObjects> objects = std::make_shared<StoredObjects>();
  ClaimHost first{ objects, 1 };
  ClaimHost second{ objects, 2 };

  std::optional<ClaimState> State()
  {
    const auto record = ReadRecord(*objects, kRequest);
    return record ? std::optional(record->state) : std::nullopt;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Claims)

BOOST_AUTO_TEST_SUITE(WithoutFaults)

// Guards against requests that need more store calls than designed.
BOOST_FIXTURE_TEST_CASE(AKeyedRequestCostsTwoWritesAndNoRead, Fleet)
{
  const ClaimResult claim = first.Claim(kRequest);
  BOOST_TEST(claim.decision == ClaimDecision::Granted);
  BOOST_TEST(claim.claimId != 0U);
  BOOST_TEST(first.registry->PendingWrites() == 0);
  first.registry->Complete(claim.claimId, 200, {});
  BOOST_TEST(first.registry->PendingWrites() == 1);
  first.AwaitSettled();
  BOOST_TEST(first.memory.Counts().Writes() == 2U);
  BOOST_TEST(first.memory.Counts().Reads() == 0U);
}

// Guards against a second run of a request that already ran, on any host.
BOOST_FIXTURE_TEST_CASE(ARequestThatRanIsReplayed, Fleet)
{
  const ClaimResult claim = first.Claim(kRequest);
  first.registry->Complete(
    claim.claimId, 201, StoredResponse{ 201, "text/plain", "body" });
  first.AwaitSettled();
  for (ClaimHost* host : { &first, &second }) {
    const ClaimResult again = host->Claim(kRequest);
    BOOST_TEST(again.decision == ClaimDecision::AlreadyRan);
    BOOST_TEST(again.status == 201);
    BOOST_REQUIRE(again.response);
    BOOST_TEST(again.response->body == "body");
    BOOST_TEST(again.response->contentType == "text/plain");
  }
}

// Guards against an object that exceeds the limits of the store, and against
// treating a request with a large response as one that did not run.
BOOST_FIXTURE_TEST_CASE(ALargeResponseKeepsItsStatusOnly, Fleet)
{
  const ClaimResult claim = first.Claim(kRequest);
  first.registry->Complete(
    claim.claimId,
    200,
    StoredResponse{
      200, "text/plain", std::string(kMaxStoredResponseBytes + 1, 'x') });
  first.AwaitSettled();
  const ClaimResult again = second.Claim(kRequest);
  BOOST_TEST(again.decision == ClaimDecision::AlreadyRan);
  BOOST_TEST(again.status == 200);
  BOOST_TEST(!again.response);
}

// Guards against taking over a claim whose holder may still send the request.
BOOST_FIXTURE_TEST_CASE(AnUndecidedClaimIsNeverTakenOver, Fleet)
{
  const ClaimResult claim = first.Claim(kRequest);
  BOOST_TEST(second.Claim(kRequest).decision == ClaimDecision::Undecided);
  BOOST_TEST(first.Claim(kRequest).decision == ClaimDecision::Undecided);
  first.registry->Abandon(claim.claimId);
  BOOST_TEST(first.registry->PendingWrites() == 0);
  BOOST_TEST(second.Claim(kRequest).decision == ClaimDecision::Undecided);
  BOOST_TEST((State() == ClaimState::Undecided));
}

// Guards against a request that did not run but can never be retried.
BOOST_FIXTURE_TEST_CASE(AReleasedClaimIsGrantedAgain, Fleet)
{
  const ClaimResult claim = first.Claim(kRequest);
  first.registry->Release(claim.claimId);
  first.AwaitSettled();
  BOOST_TEST((State() == ClaimState::Released));
  const ClaimResult again = second.Claim(kRequest);
  BOOST_TEST(again.decision == ClaimDecision::Granted);
  second.registry->Complete(again.claimId, 200, {});
  second.AwaitSettled();
  BOOST_TEST((State() == ClaimState::Ran));
}

// Guards against one key that is used for two requests.
BOOST_FIXTURE_TEST_CASE(AnotherFingerprintIsRefused, Fleet)
{
  const ClaimResult claim = first.Claim(kRequest);
  ClaimRequest other = kRequest;
  other.fingerprint = "other";
  BOOST_TEST(second.Claim(other).decision ==
             ClaimDecision::FingerprintMismatch);
  first.registry->Release(claim.claimId);
  first.AwaitSettled();
  BOOST_TEST(second.Claim(other).decision ==
             ClaimDecision::FingerprintMismatch);
}

// Guards against a later call that overwrites the outcome of a claim.
BOOST_FIXTURE_TEST_CASE(OnlyTheFirstDecisionCounts, Fleet)
{
  const ClaimResult claim = first.Claim(kRequest);
  first.registry->Complete(claim.claimId, 200, {});
  first.registry->Release(claim.claimId);
  first.AwaitSettled();
  first.registry->Release(claim.claimId);
  first.AwaitSettled();
  BOOST_TEST((State() == ClaimState::Ran));
}

// Guards against running a request again because its claim is damaged.
BOOST_FIXTURE_TEST_CASE(AnUnreadableClaimIsUndecided, Fleet)
{
  objects->Create(ClaimObjectKey(kRequest.customer, kRequest.idempotencyKey),
                  "damaged");
  BOOST_TEST(first.Claim(kRequest).decision == ClaimDecision::Undecided);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AtTheSameTime)

// Guards against sending the same request from two hosts.
BOOST_FIXTURE_TEST_CASE(OneOfTwoHostsIsGranted, Fleet)
{
  const auto one = first.Start(kRequest);
  const auto two = second.Start(kRequest);
  const auto three = first.Start(kRequest);
  BOOST_REQUIRE(WaitUntil([&] { return *one && *two && *three; }));
  BOOST_TEST((*one)->decision == ClaimDecision::Granted);
  BOOST_TEST((*two)->decision == ClaimDecision::Undecided);
  BOOST_TEST((*three)->decision == ClaimDecision::Undecided);
}

// Guards against two hosts that both read a released claim and both get it.
BOOST_FIXTURE_TEST_CASE(OneOfTwoHostsTakesAReleasedClaim, Fleet)
{
  const ClaimResult claim = first.Claim(kRequest);
  first.registry->Release(claim.claimId);
  first.AwaitSettled();
  // Both hosts read the released object before either writes.
  StoreFaults slow;
  slow.delay = milliseconds(5);
  first.memory.SetFaults(slow);
  second.memory.SetFaults(slow);
  first.memory.ResetCounts();
  second.memory.ResetCounts();
  const auto one = first.Start(kRequest);
  const auto two = second.Start(kRequest);
  BOOST_REQUIRE(WaitUntil([&] { return *one && *two; }));
  const std::multiset<ClaimDecision> decisions{ (*one)->decision,
                                                (*two)->decision };
  BOOST_TEST(
    (decisions == std::multiset<ClaimDecision>{ ClaimDecision::Granted,
                                                ClaimDecision::Undecided }));
  BOOST_TEST(first.memory.Counts().updates == 1U);
  BOOST_TEST(second.memory.Counts().updates == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

// Injects each fault at each call of each flow; all other calls succeed.
BOOST_AUTO_TEST_SUITE(CallFaults)

namespace {

enum class Flow
{
  Complete,
  Release,
  // Claims a key that was released before, then completes.
  ReclaimAndComplete,
};

struct FaultRow
{
  Flow flow;
  ClaimState finalState;
};

} // namespace

// Guards against a lost, late or refused call that makes the registry lose the
// claim, grant it twice or leave it undecided.
BOOST_AUTO_TEST_CASE(FaultsOfOneOrTwoCallsAreRecovered)
{
  const FaultRow rows[] = {
    { Flow::Complete, ClaimState::Ran },
    { Flow::Release, ClaimState::Released },
    { Flow::ReclaimAndComplete, ClaimState::Ran },
  };
  const CallFault faults[] = { CallFault::Refused,
                               CallFault::LostRequest,
                               CallFault::LostResponse,
                               CallFault::Late };
  constexpr int kCalls = 7;
  for (const FaultRow& row : rows) {
    for (const CallFault fault : faults) {
      // The same fault at two calls also covers a failure during recovery.
      for (int faulty = 0; faulty < kCalls; ++faulty) {
        for (int second = faulty; second < kCalls; ++second) {
          BOOST_TEST_CONTEXT("flow " << static_cast<int>(row.flow) << " fault "
                                     << fault << " at calls " << faulty
                                     << " and " << second)
          {
            Fleet fleet;
            if (row.flow == Flow::ReclaimAndComplete) {
              fleet.second.registry->Release(
                fleet.second.Claim(kRequest).claimId);
              fleet.second.AwaitSettled();
            }
            fleet.first.store.SetScript([&](int aCall, bool) {
              return aCall == faulty || aCall == second ? fault
                                                        : CallFault::None;
            });
            const ClaimResult claim = fleet.first.Claim(kRequest);
            BOOST_TEST(claim.decision == ClaimDecision::Granted);
            // A write that arrives after the grant must not change the claim.
            BOOST_TEST(fleet.first.memory.ApplyLateWrites() == 0);
            BOOST_TEST(fleet.second.Claim(kRequest).decision ==
                       ClaimDecision::Undecided);
            if (row.flow == Flow::Release) {
              fleet.first.registry->Release(claim.claimId);
            } else {
              fleet.first.registry->Complete(
                claim.claimId, 200, StoredResponse{ 200, "text/plain", "b" });
            }
            fleet.first.AwaitSettled();
            BOOST_TEST(fleet.first.memory.ApplyLateWrites() == 0);
            BOOST_TEST((fleet.State() == row.finalState));
            const ClaimResult again = fleet.second.Claim(kRequest);
            BOOST_TEST(again.decision == (row.finalState == ClaimState::Ran
                                            ? ClaimDecision::AlreadyRan
                                            : ClaimDecision::Granted));
          }
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AfterTheDeadline)

namespace {

// Returns a script with the given fault at the first call and lost requests
// after it, like an outage that begins during a claim.
ScriptedStore::Script
FirstCallThenOutage(CallFault aFirst)
{
  return [aFirst](int aCall, bool) {
    return aCall == 0 ? aFirst : CallFault::LostRequest;
  };
}

} // namespace

// Guards against a claim that no host holds and none can release.
BOOST_FIXTURE_TEST_CASE(AClaimWithALostResponseIsReleased, Fleet)
{
  first.store.SetScript(FirstCallThenOutage(CallFault::LostResponse));
  BOOST_TEST(first.Claim(kRequest, kShortTimeout).decision ==
             ClaimDecision::StoreUnavailable);
  BOOST_TEST(first.registry->PendingWrites() == 1);
  BOOST_TEST((State() == ClaimState::Undecided));
  first.store.SetScript({});
  first.AwaitSettled();
  BOOST_TEST((State() == ClaimState::Released));
  BOOST_TEST(second.Claim(kRequest).decision == ClaimDecision::Granted);
}

// Guards against a create that takes effect after its release: the key would
// stay undecided permanently.
BOOST_FIXTURE_TEST_CASE(ACreateAfterItsReleaseHasNoEffect, Fleet)
{
  first.store.SetScript(FirstCallThenOutage(CallFault::Late));
  BOOST_TEST(first.Claim(kRequest, kShortTimeout).decision ==
             ClaimDecision::StoreUnavailable);
  first.store.SetScript({});
  first.AwaitSettled();
  BOOST_TEST(first.memory.ApplyLateWrites() == 0);
  BOOST_TEST((State() == ClaimState::Released));
  BOOST_TEST(second.Claim(kRequest).decision == ClaimDecision::Granted);
}

// Guards against a create that takes effect between the read and the write of
// its release.
BOOST_FIXTURE_TEST_CASE(ACreateDuringItsReleaseIsReleased, Fleet)
{
  first.store.SetScript(FirstCallThenOutage(CallFault::Late));
  BOOST_TEST(first.Claim(kRequest, kShortTimeout).decision ==
             ClaimDecision::StoreUnavailable);
  int appliedWrites = 0;
  first.store.SetScript([&](int, bool aIsWrite) {
    if (aIsWrite) {
      appliedWrites += first.memory.ApplyLateWrites();
    }
    return CallFault::None;
  });
  first.AwaitSettled();
  BOOST_TEST(appliedWrites == 1);
  BOOST_TEST((State() == ClaimState::Released));
}

// Guards against a late create that arrives while another host, which claimed
// the key in the meantime, runs its request.
BOOST_FIXTURE_TEST_CASE(ALateCreateDoesNotChangeAnotherClaim, Fleet)
{
  first.store.SetScript(FirstCallThenOutage(CallFault::Late));
  BOOST_TEST(first.Claim(kRequest, kShortTimeout).decision ==
             ClaimDecision::StoreUnavailable);
  const ClaimResult claim = second.Claim(kRequest);
  BOOST_TEST(claim.decision == ClaimDecision::Granted);
  BOOST_TEST(first.memory.ApplyLateWrites() == 0);
  first.store.SetScript({});
  first.AwaitSettled();
  BOOST_TEST((State() == ClaimState::Undecided));
  second.registry->Complete(claim.claimId, 200, {});
  second.AwaitSettled();
  BOOST_TEST((State() == ClaimState::Ran));
}

// Guards against a conditional update of a released claim that takes effect
// after its caller was refused.
BOOST_FIXTURE_TEST_CASE(AnUpdateAfterItsReleaseHasNoEffect, Fleet)
{
  second.registry->Release(second.Claim(kRequest).claimId);
  second.AwaitSettled();
  // The create conflicts, the read returns the released claim, and the update
  // is late.
  first.store.SetScript([](int aCall, bool) {
    return aCall < 2    ? CallFault::None
           : aCall == 2 ? CallFault::Late
                        : CallFault::LostRequest;
  });
  BOOST_TEST(first.Claim(kRequest, kShortTimeout).decision ==
             ClaimDecision::StoreUnavailable);
  BOOST_TEST(first.registry->PendingWrites() == 1);
  first.store.SetScript({});
  first.AwaitSettled();
  BOOST_TEST(first.memory.ApplyLateWrites() == 0);
  BOOST_TEST((State() == ClaimState::Released));
  BOOST_TEST(second.Claim(kRequest).decision == ClaimDecision::Granted);
}

// Guards against a claim that stays undecided because the response to its
// write arrives after the deadline.
BOOST_FIXTURE_TEST_CASE(AClaimWrittenAfterTheDeadlineIsReleased, Fleet)
{
  StoreFaults slow;
  slow.responseDelay = milliseconds(80);
  first.memory.SetFaults(slow);
  const Instant start = first.clock.Now();
  BOOST_TEST(first.Claim(kRequest, kShortTimeout).decision ==
             ClaimDecision::StoreUnavailable);
  BOOST_TEST((first.clock.Now() - start < milliseconds(70)));
  BOOST_TEST(first.registry->PendingWrites() == 1);
  first.AwaitSettled();
  BOOST_TEST((State() == ClaimState::Released));
  // The response contains the version, so no read is needed.
  BOOST_TEST(first.memory.Counts().Reads() == 0U);
}

// Guards against a grant after the deadline if the process was paused while
// the response was in its socket buffer.
BOOST_AUTO_TEST_CASE(AGrantAfterAPauseIsRefusedAndReleased)
{
  struct JumpingClock final : Clock
  {
    SystemClock system;
    Duration jump{ 0 };
    Instant Now() const override { return system.Now() + jump; }
    WallTime WallNow() const override { return system.WallNow(); }
  };
  JumpingClock clock;
  MemoryObjectStore store;
  SeededRandom random(1);
  const auto registry =
    ClaimRegistry::Create(store, clock, random, "host", 1, ShortDelayLimits());
  std::optional<ClaimResult> result;
  registry->Claim(kRequest,
                  clock.Now() + std::chrono::seconds(5),
                  [&](const auto& aResult) { result = aResult; });
  clock.jump = std::chrono::seconds(6);
  BOOST_REQUIRE(WaitUntil([&] { return result.has_value(); }));
  BOOST_TEST(result->decision == ClaimDecision::StoreUnavailable);
  BOOST_REQUIRE(WaitUntil([&] { return registry->PendingWrites() == 0; }));
  BOOST_TEST(
    (ReadRecord(store.Objects(), kRequest)->state == ClaimState::Released));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(DuringAnOutage)

// Guards against background work for requests that certainly wrote nothing: it
// would accumulate during an outage of hours.
BOOST_FIXTURE_TEST_CASE(ARefusedConnectionLeavesNothingPending, Fleet)
{
  StoreFaults faults;
  faults.isUnavailable = true;
  faults.isConnectionRefused = true;
  first.memory.SetFaults(faults);
  BOOST_TEST(first.Claim(kRequest, milliseconds(20)).decision ==
             ClaimDecision::StoreUnavailable);
  // A write may be in flight at the deadline; its refusal ends the claim. The
  // store stays unavailable, so nothing else can end it.
  first.AwaitSettled();
  const std::uint64_t writes = first.memory.Counts().Writes();
  RunFor(milliseconds(30));
  BOOST_TEST(first.memory.Counts().Writes() == writes);
  BOOST_TEST(first.memory.Counts().Reads() == 0U);
}

// Guards against background work for a connection that is refused after the
// deadline.
BOOST_FIXTURE_TEST_CASE(ALateRefusalLeavesNothingPending, Fleet)
{
  StoreFaults faults;
  faults.isUnavailable = true;
  faults.isConnectionRefused = true;
  faults.delay = milliseconds(100);
  first.memory.SetFaults(faults);
  BOOST_TEST(first.Claim(kRequest, milliseconds(20)).decision ==
             ClaimDecision::StoreUnavailable);
  first.AwaitSettled();
  BOOST_TEST(first.memory.Counts().Writes() == 1U);
  BOOST_TEST(first.memory.Counts().Reads() == 0U);
}

// Guards against a callback after the deadline, and against giving up before
// it.
BOOST_FIXTURE_TEST_CASE(TheCallbackRunsByTheDeadline, Fleet)
{
  StoreFaults faults;
  faults.isUnavailable = true;
  first.memory.SetFaults(faults);
  const Instant start = first.clock.Now();
  BOOST_TEST(first.Claim(kRequest, milliseconds(40)).decision ==
             ClaimDecision::StoreUnavailable);
  BOOST_TEST((first.clock.Now() - start >= milliseconds(35)));
  BOOST_TEST((first.clock.Now() - start < milliseconds(80)));
  BOOST_TEST(first.Claim(kRequest, milliseconds(-1)).decision ==
             ClaimDecision::StoreUnavailable);
}

// Guards against a claim that fails although the store recovered before the
// deadline.
BOOST_FIXTURE_TEST_CASE(AStoreThatRecoversInTimeGrantsTheClaim, Fleet)
{
  StoreFaults faults;
  faults.isUnavailable = true;
  first.memory.SetFaults(faults);
  const auto result = first.Start(kRequest);
  RunFor(milliseconds(20));
  BOOST_TEST(!*result);
  first.memory.SetFaults({});
  BOOST_REQUIRE(WaitUntil([&] { return result->has_value(); }));
  BOOST_TEST((*result)->decision == ClaimDecision::Granted);
}

// Guards against memory that grows with the length of an outage, and against
// dropping a completion when the limit is reached.
BOOST_AUTO_TEST_CASE(OpenClaimsAreBoundedAndNoneIsDropped)
{
  constexpr int kOpen = 20;
  ClaimLimits limits = ShortDelayLimits();
  limits.maxOpenClaims = kOpen;
  limits.maxPendingResponseBytes = 50;
  const auto objects = std::make_shared<StoredObjects>();
  ClaimHost host(objects, 1, limits);
  std::vector<std::uint64_t> ids;
  ids.reserve(kOpen);
  for (int number = 0; number < kOpen; ++number) {
    const ClaimResult claim =
      host.Claim({ "customer", std::to_string(number), "fingerprint" });
    BOOST_TEST(claim.decision == ClaimDecision::Granted);
    ids.push_back(claim.claimId);
  }
  StoreFaults faults;
  faults.isUnavailable = true;
  host.memory.SetFaults(faults);
  for (const std::uint64_t id : ids) {
    host.registry->Complete(
      id, 200, StoredResponse{ 200, "text/plain", std::string(10, 'x') });
  }
  host.memory.ResetCounts();
  BOOST_TEST(host.Claim(kRequest).decision == ClaimDecision::StoreUnavailable);
  BOOST_TEST(host.registry->PendingWrites() == kOpen);
  BOOST_TEST(host.memory.Counts().creates == 0U);
  host.memory.SetFaults({});
  host.AwaitSettled();
  int kept = 0;
  for (int number = 0; number < kOpen; ++number) {
    const auto record = ReadRecord(
      *objects, { "customer", std::to_string(number), "fingerprint" });
    BOOST_REQUIRE(record);
    BOOST_TEST((record->state == ClaimState::Ran));
    kept += record->response ? 1 : 0;
  }
  BOOST_TEST(kept == 5);
  BOOST_TEST(host.Claim(kRequest).decision == ClaimDecision::Granted);
}

// Guards against a separate retry for each pending write while the store is
// unavailable, and against a burst of calls when it recovers.
BOOST_AUTO_TEST_CASE(BackgroundCallsAreLimitedDuringAndAfterAnOutage)
{
  constexpr int kPending = 100;
  ClaimLimits limits = ShortDelayLimits();
  limits.firstBackgroundRetryDelay = milliseconds(10);
  limits.maxBackgroundRetryDelay = milliseconds(40);
  limits.maxBackgroundCalls = 4;
  const auto objects = std::make_shared<StoredObjects>();
  ClaimHost host(objects, 1, limits);
  std::vector<std::uint64_t> ids;
  ids.reserve(kPending);
  for (int number = 0; number < kPending; ++number) {
    ids.push_back(
      host.Claim({ "customer", std::to_string(number), "fingerprint" })
        .claimId);
  }
  StoreFaults faults;
  faults.isUnavailable = true;
  host.memory.SetFaults(faults);
  host.memory.ResetCounts();
  for (const std::uint64_t id : ids) {
    host.registry->Complete(id, 200, {});
  }
  RunFor(milliseconds(400));
  // Four writes at first, then one after each delay of at least 5, 10, 20, 20,
  // ... ms.
  BOOST_TEST(host.memory.Counts().Writes() <= 4U + 3U + 400U / 20U);
  BOOST_TEST(host.memory.Counts().Writes() >= 4U + 400U / 40U / 2U);
  BOOST_TEST(host.registry->PendingWrites() == kPending);
  StoreFaults slow;
  slow.delay = milliseconds(20);
  host.memory.SetFaults(slow);
  const std::uint64_t before = host.memory.Counts().Writes();
  BOOST_REQUIRE(
    WaitUntil([&] { return host.registry->PendingWrites() < kPending; }));
  // One call checked the store; its response starts four more.
  BOOST_TEST(host.memory.Counts().Writes() - before <= 1U + 4U);
  host.memory.SetFaults({});
  host.AwaitSettled();
}

// Guards against a response that is passed to a destroyed registry.
BOOST_FIXTURE_TEST_CASE(ADestroyedRegistryIgnoresResponses, Fleet)
{
  const ClaimResult claim = first.Claim(kRequest);
  first.registry->Complete(claim.claimId, 200, {});
  bool isCallbackCalled = false;
  first.registry->Claim({ "customer", "key-2", "fingerprint" },
                        first.clock.Now() + kShortTimeout,
                        [&](const auto&) { isCallbackCalled = true; });
  first.registry.reset();
  RunFor(milliseconds(60));
  BOOST_TEST(!isCallbackCalled);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RandomFaults)

// Guards against orders of faults that the cases above do not cover: a request
// must not run twice, be replayed without having run, or stay undecided after
// every host has finished.
BOOST_AUTO_TEST_CASE(NoRequestRunsTwice)
{
  constexpr int kSeeds = 60;
  constexpr int kHosts = 3;
  constexpr int kAttempts = 8;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      SeededRandom random(static_cast<std::uint64_t>(seed));
      const auto objects = std::make_shared<StoredObjects>();
      std::vector<std::unique_ptr<ClaimHost>> hosts;
      bool isFaulty = true;
      for (int host = 0; host < kHosts; ++host) {
        hosts.push_back(std::make_unique<ClaimHost>(
          objects, static_cast<std::uint64_t>(seed * kHosts + host)));
        MemoryObjectStore& memory = hosts.back()->memory;
        hosts.back()->store.SetScript([&random, &isFaulty, &memory](int, bool) {
          if (random.Below(4) == 0) {
            memory.ApplyLateWrites();
          }
          StoreFaults faults;
          faults.delay = milliseconds(random.Below(4));
          faults.responseDelay = milliseconds(random.Below(4));
          memory.SetFaults(faults);
          return isFaulty && random.Below(2) == 0
                   ? static_cast<CallFault>(random.Below(5))
                   : CallFault::None;
        });
      }
      int runs = 0;
      int callbackCount = 0;
      // The granted attempt keeps its request in flight for up to 4 ms.
      QObject context;
      for (int attempt = 0; attempt < kAttempts; ++attempt) {
        ClaimHost& host = *hosts[random.Below(kHosts)];
        const milliseconds start(random.Below(40));
        const milliseconds timeout(random.Below(25));
        QTimer::singleShot(start, &context, [&, timeout] {
          host.registry->Claim(
            kRequest,
            host.clock.Now() + timeout,
            [&](const ClaimResult& aResult) {
              ++callbackCount;
              if (aResult.decision == ClaimDecision::AlreadyRan) {
                BOOST_TEST(runs == 1);
              }
              if (aResult.decision != ClaimDecision::Granted) {
                return;
              }
              const bool isRun = random.Below(3) == 0;
              runs += isRun ? 1 : 0;
              QTimer::singleShot(milliseconds(random.Below(5)),
                                 &context,
                                 [&host, isRun, id = aResult.claimId] {
                                   if (isRun) {
                                     host.registry->Complete(id, 200, {});
                                   } else {
                                     host.registry->Release(id);
                                   }
                                 });
            });
        });
      }
      BOOST_REQUIRE(WaitUntil([&] { return callbackCount == kAttempts; }));
      isFaulty = false;
      RunFor(milliseconds(10));
      for (const auto& host : hosts) {
        host->AwaitSettled();
      }
      for (const auto& host : hosts) {
        BOOST_TEST(host->memory.ApplyLateWrites() == 0);
      }
      BOOST_TEST(runs <= 1);
      const auto record = ReadRecord(*objects, kRequest);
      if (record) {
        BOOST_TEST(record->state ==
                   (runs == 1 ? ClaimState::Ran : ClaimState::Released));
      } else {
        BOOST_TEST(runs == 0);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
