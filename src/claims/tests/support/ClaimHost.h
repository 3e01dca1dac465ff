#pragma once

#include "base/SeededRandom.h"
#include "base/SystemClock.h"
#include "claims/ClaimRecord.h"
#include "claims/ClaimRegistry.h"
#include "claims/tests/support/ScriptedStore.h"
#include "store/tests/support/StoreCalls.h"

namespace filbertbeam {

inline ClaimLimits
ShortDelayLimits()
{
  using std::chrono::milliseconds;
  ClaimLimits limits;
  limits.firstClaimRetryDelay = milliseconds(1);
  limits.maxClaimRetryDelay = milliseconds(4);
  limits.firstBackgroundRetryDelay = milliseconds(1);
  limits.maxBackgroundRetryDelay = milliseconds(4);
  return limits;
}

// One host of a fleet that shares a store, with its own store client and
// registry.
struct ClaimHost
{
  explicit ClaimHost(std::shared_ptr<StoredObjects> aObjects,
                     std::uint64_t aSeed = 1,
                     const ClaimLimits& aLimits = ShortDelayLimits())
    : memory(std::move(aObjects))
    , store(memory)
    , random(aSeed)
    , registry(ClaimRegistry::Create(store,
                                     clock,
                                     random,
                                     "host-" + std::to_string(aSeed),
                                     aSeed,
                                     aLimits))
  {
  }

  std::shared_ptr<std::optional<ClaimResult>> Start(
    const ClaimRequest& aRequest,
    std::chrono::milliseconds aTimeout = std::chrono::seconds(5))
  {
    auto result = std::make_shared<std::optional<ClaimResult>>();
    registry->Claim(
      aRequest, clock.Now() + aTimeout, [result](const ClaimResult& aResult) {
        BOOST_TEST(!result->has_value(), "the callback ran twice");
        *result = aResult;
      });
    BOOST_TEST(!result->has_value(), "the callback ran during the call");
    return result;
  }

  ClaimResult Claim(
    const ClaimRequest& aRequest,
    std::chrono::milliseconds aTimeout = std::chrono::seconds(5))
  {
    const auto result = Start(aRequest, aTimeout);
    BOOST_REQUIRE(testing::WaitUntil([&] { return result->has_value(); }));
    return **result;
  }

  void AwaitSettled()
  {
    BOOST_REQUIRE(
      testing::WaitUntil([&] { return registry->PendingWrites() == 0; }));
  }

  SystemClock clock;
  MemoryObjectStore memory;
  ScriptedStore store;
  SeededRandom random;
  std::unique_ptr<ClaimRegistry> registry;
};

inline std::optional<ClaimRecord>
ReadRecord(const StoredObjects& aObjects, const ClaimRequest& aRequest)
{
  const auto object =
    aObjects.Get(ClaimObjectKey(aRequest.customer, aRequest.idempotencyKey));
  if (!object.value) {
    return {};
  }
  return ClaimRecord::Decode(object.value->value);
}

inline std::ostream&
operator<<(std::ostream& aStream, ClaimDecision aDecision)
{
  static const char* const kNames[] = { "Granted",
                                        "AlreadyRan",
                                        "Undecided",
                                        "FingerprintMismatch",
                                        "StoreUnavailable" };
  return aStream << kNames[static_cast<int>(aDecision)];
}

inline std::ostream&
operator<<(std::ostream& aStream, ClaimState aState)
{
  static const char* const kNames[] = { "Undecided", "Ran", "Released" };
  return aStream << kNames[static_cast<int>(aState)];
}

inline std::ostream&
operator<<(std::ostream& aStream, CallFault aFault)
{
  static const char* const kNames[] = {
    "None", "Refused", "LostRequest", "LostResponse", "Late"
  };
  return aStream << kNames[static_cast<int>(aFault)];
}

} // namespace filbertbeam
