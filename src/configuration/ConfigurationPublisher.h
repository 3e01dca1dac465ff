#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "configuration/Configuration.h"
#include "configuration/ConfigurationHead.h"
#include "configuration/ConfigurationParts.h"
#include "store/ObjectStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace filbertbeam {

// Writes a configuration to the object store, in place of one that the caller
// knows. Publishes one at a time. Not thread-safe.
class ConfigurationPublisher
{
public:
  // Time after which an attempt is given up.
  static constexpr Duration kTimeLimit = std::chrono::seconds(30);

  // What the new configuration replaces.
  struct Base
  {
    // Empty when the store has no head yet.
    std::optional<ConfigurationHead> head;
    // Version of the head object; 0 when it does not exist.
    std::uint64_t version = 0;
  };

  enum class OutcomeKind
  {
    Accepted,
    // Someone else's configuration was accepted in between; nothing changed.
    Conflict,
    // The content cannot be stored; nothing changed.
    Refused,
    // The store cannot be reached; nothing changed.
    Unavailable,
    // The store cannot be reached any more; the configuration may have been
    // accepted or may still be.
    Unknown,
  };

  struct Outcome
  {
    OutcomeKind kind = OutcomeKind::Unknown;
    // The accepted revision; with Conflict the other's.
    std::uint64_t revision = 0;
    // With Conflict: who made the other revision.
    std::string otherAuthor;
    std::string reason;
  };
  using Callback = std::function<void(const Outcome&)>;

  // The references have to outlive the publisher.
  ConfigurationPublisher(ObjectStore& aStore,
                         const Clock& aClock,
                         Random& aRandom);

  // Calls aCallback once, never during this call. Abandons an attempt that is
  // still running, without a call.
  void Publish(const Configuration::Content& aContent,
               Base aBase,
               std::string aAuthor,
               Callback aCallback);

  // Runs what is due; call it about every 100 ms.
  void Tick();

private:
  struct ScheduledAction
  {
    Instant at;
    std::function<void()> action;
  };
  struct PendingPart
  {
    ConfigurationPart part;
    int failures = 0;
  };

  void Schedule(Duration aDelay, std::function<void()> aAction);
  void ScheduleRetry(int aFailures, std::function<void()> aAction);

  void WriteParts();
  void WritePart(std::size_t aIndex);
  void OnPartWritten(std::size_t aIndex,
                     const StoreResult<std::uint64_t>& aResult);
  void CheckStoredPart(std::size_t aIndex);
  void OnPartDone();
  void WriteHead();
  void OnHeadWritten(const StoreResult<std::uint64_t>& aResult);
  void ReadHeadBack();
  void OnHeadReadBack(const StoreResult<StoredObject>& aResult);
  void OnOtherHead(const ConfigurationHead& aOther);
  void Finish(const Outcome& aOutcome);

  ObjectStore& store_;
  const Clock& clock_;
  Random& random_;

  // Alive while an attempt runs; late answers to an earlier one see it gone.
  std::shared_ptr<int> attempt_;
  Callback callback_;
  Base base_;
  ConfigurationHead head_;
  std::vector<PendingPart> parts_;
  std::size_t nextPart_ = 0;
  int activePartWrites_ = 0;
  int headFailures_ = 0;
  // True as soon as a write of the head may have reached the store.
  bool mayBeAccepted_ = false;
  Instant deadline_;
  std::string lastReason_;
  std::vector<ScheduledAction> scheduledActions_;
};

} // namespace filbertbeam
