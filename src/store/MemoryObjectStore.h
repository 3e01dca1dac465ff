#pragma once

#include "store/ObjectStore.h"
#include "store/StoreCallCounts.h"
#include "store/StoredObjects.h"

#include <QObject>

#include <list>
#include <memory>

namespace filbertbeam {

// Faults of a MemoryObjectStore. They hold for calls made after they were set.
struct StoreFaults
{
  // Every call fails as Unavailable without any effect. Waiting watches fail.
  bool isAway = false;
  // With isAway: the failure says that the request was never sent.
  bool isConnectionRefused = false;
  // Time before a call takes effect and is answered.
  std::chrono::milliseconds delay{ 0 };
  // Further time before the response, after the call took effect.
  std::chrono::milliseconds answerDelay{ 0 };
  // This many writes take effect and then fail as Unavailable.
  int lostWriteResponses = 0;
  // This many writes fail as Unavailable and take effect only when
  // ApplyLateWrites is called.
  int lateWrites = 0;
};

// An object store within the process, for tests and simulators. Several of
// them can share their objects, each with faults of its own, like hosts that
// reach one store over different paths.
class MemoryObjectStore final : public ObjectStore
{
public:
  explicit MemoryObjectStore(std::shared_ptr<StoredObjects> aObjects =
                               std::make_shared<StoredObjects>());
  ~MemoryObjectStore() override;

  MemoryObjectStore(const MemoryObjectStore&) = delete;
  MemoryObjectStore& operator=(const MemoryObjectStore&) = delete;

  void Get(std::string_view aKey, ObjectCallback aCallback) override;
  void Create(std::string_view aKey,
              std::string_view aValue,
              VersionCallback aCallback) override;
  void Update(std::string_view aKey,
              std::string_view aValue,
              std::uint64_t aExpectedVersion,
              VersionCallback aCallback) override;
  void Watch(std::string_view aKey,
             std::uint64_t aAfterVersion,
             std::chrono::milliseconds aTimeout,
             ObjectCallback aCallback) override;
  void List(std::string_view aPrefix, ListCallback aCallback) override;

  void SetFaults(const StoreFaults& aFaults);
  // The faults as they stand; the numbers of writes to fail count down.
  const StoreFaults& Faults() const { return faults_; }

  // Applies the held writes in the order they were made. A write whose
  // condition no longer holds has no effect. Returns how many had one.
  int ApplyLateWrites();

  const StoreCallCounts& Counts() const { return counts_; }
  void ResetCounts() { counts_ = {}; }

  StoredObjects& Objects() { return *objects_; }

private:
  using WriteEffect = std::function<StoreResult<std::uint64_t>()>;

  struct Watcher
  {
    std::string key;
    std::uint64_t afterVersion = 0;
    ObjectCallback callback;
    // Set once the response is on its way, so that it is sent once only.
    bool isResponseScheduled = false;
  };

  template<typename Value>
  void Read(std::function<StoreResult<Value>()> aRead,
            std::function<void(const StoreResult<Value>&)> aCallback);
  void Write(WriteEffect aEffect, VersionCallback aCallback);
  // Runs aAction from the event loop after aDelay, unless this is destroyed.
  void Schedule(std::chrono::milliseconds aDelay,
                std::function<void()> aAction);
  void Respond(const std::shared_ptr<Watcher>& aWatcher);
  void OnChanged(const StoredObject& aObject);

  std::shared_ptr<StoredObjects> objects_;
  int listenerId_ = 0;
  StoreFaults faults_;
  StoreCallCounts counts_;
  std::list<std::shared_ptr<Watcher>> watchers_;
  std::vector<WriteEffect> lateWrites_;
  QObject context_;
};

} // namespace filbertbeam
