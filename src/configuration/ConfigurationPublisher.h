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

// Writes a configuration to the object store, replacing one that the caller has
// read. Publishes one configuration at a time. Not thread-safe.
class ConfigurationPublisher
{
public:
  // Time after which an attempt is aborted.
  static constexpr Duration kTimeLimit = std::chrono::seconds(30);

  // The stored configuration that the new one replaces.
  struct Base
  {
    // Empty if the store has no head yet.
    std::optional<ConfigurationHead> head;
    // Version of the head object; 0 if it does not exist.
    std::uint64_t version = 0;
  };

  enum class OutcomeKind
  {
    Accepted,
    // Another configuration has been accepted in the meantime; nothing changed.
    Conflict,
    // The content cannot be stored; nothing changed.
    Refused,
    // The store cannot be reached; nothing changed.
    Unavailable,
    // The store became unreachable after a write was sent, or its content does
    // not tell whether the write took effect; the configuration may have been
    // accepted or may still be.
    Unknown,
  };

  struct Outcome
  {
    OutcomeKind kind = OutcomeKind::Unknown;
    // The accepted revision; with Conflict, that of the other configuration.
    std::uint64_t revision = 0;
    // With Conflict, the author of the other configuration.
    std::string otherAuthor;
    std::string reason;
  };
  using Callback = std::function<void(const Outcome&)>;

  // The references have to outlive the publisher.
  ConfigurationPublisher(ObjectStore& aStore,
                         const Clock& aClock,
                         Random& aRandom);

  // Calls aCallback once, never during this call. Aborts an attempt that is
  // still running without calling its callback.
  void Publish(const Configuration::Content& aContent,
               Base aBase,
               std::string aAuthor,
               Callback aCallback);

  // Runs the due actions; must be called about every 100 ms.
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

  // Exists while an attempt runs; the callbacks hold weak references to it, so
  // that late responses to an earlier attempt are ignored.
  std::shared_ptr<int> attempt_;
  Callback callback_;
  Base base_;
  ConfigurationHead head_;
  std::vector<PendingPart> parts_;
  std::size_t nextPart_ = 0;
  int activePartWrites_ = 0;
  int headFailures_ = 0;
  // True once a write of the head may have reached the store.
  bool mayBeAccepted_ = false;
  Instant deadline_;
  std::string lastReason_;
  std::vector<ScheduledAction> scheduledActions_;
};

} // namespace filbertbeam
