#pragma once

#include "store/ObjectStore.h"
#include "store/StoreCallCounts.h"
#include "store/StoredObjects.h"

#include <QObject>

#include <list>
#include <memory>

namespace filbertbeam {

// Faults to inject into a MemoryObjectStore. They apply to calls made after
// they were set.
struct StoreFaults
{
  // Every call fails as Unavailable without any effect; so do pending watches.
  bool isUnavailable = false;
  // With isUnavailable: failures report that no byte of the request was sent.
  bool isConnectionRefused = false;
  // Time before a call takes effect and its response is sent.
  std::chrono::milliseconds delay{ 0 };
  // Additional time between a call's effect and its response.
  std::chrono::milliseconds responseDelay{ 0 };
  // Number of upcoming writes that take effect but fail as Unavailable.
  int lostWriteResponses = 0;
  // Number of upcoming writes that fail as Unavailable and take effect only
  // when ApplyLateWrites is called.
  int lateWrites = 0;
};

// An in-memory object store for tests and simulators. Several instances can
// share their objects, each with its own faults, like hosts that reach one
// store over different network paths.
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
  // The current faults; the numbers of writes to fail count down.
  const StoreFaults& Faults() const { return faults_; }

  // Applies the late writes in the order they were made. A write whose
  // condition no longer holds has no effect. Returns how many took effect.
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
    // Set when the response is scheduled, so that it is sent only once.
    bool isResponseScheduled = false;
  };

  template<typename Value>
  void Read(std::function<StoreResult<Value>()> aRead,
            std::function<void(const StoreResult<Value>&)> aCallback);
  void Write(WriteEffect aEffect, VersionCallback aCallback);
  // Runs aAction from the event loop after aDelay, unless this is destroyed
  // first.
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
