#include "store/MemoryObjectStore.h"

#include <QTimer>

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

template<typename Value>
StoreResult<Value>
UnavailableResult(const StoreFaults& aFaults)
{
  return {
    {}, StoreError::Unavailable, "store is away", aFaults.isConnectionRefused
  };
}

} // namespace

MemoryObjectStore::MemoryObjectStore(std::shared_ptr<StoredObjects> aObjects)
  : objects_(std::move(aObjects))
{
  listenerId_ = objects_->AddListener(
    [this](const StoredObject& aObject) { OnChanged(aObject); });
}

MemoryObjectStore::~MemoryObjectStore()
{
  objects_->RemoveListener(listenerId_);
}

void
MemoryObjectStore::Get(std::string_view aKey, ObjectCallback aCallback)
{
  ++counts_.gets;
  Read<StoredObject>(
    [this, key = std::string(aKey)] { return objects_->Get(key); },
    std::move(aCallback));
}

void
MemoryObjectStore::Create(std::string_view aKey,
                          std::string_view aValue,
                          VersionCallback aCallback)
{
  ++counts_.creates;
  Write([this,
         key = std::string(aKey),
         value = std::string(aValue)] { return objects_->Create(key, value); },
        std::move(aCallback));
}

void
MemoryObjectStore::Update(std::string_view aKey,
                          std::string_view aValue,
                          std::uint64_t aExpectedVersion,
                          VersionCallback aCallback)
{
  ++counts_.updates;
  Write(
    [this,
     key = std::string(aKey),
     value = std::string(aValue),
     aExpectedVersion] {
      return objects_->Update(key, value, aExpectedVersion);
    },
    std::move(aCallback));
}

void
MemoryObjectStore::Watch(std::string_view aKey,
                         std::uint64_t aAfterVersion,
                         std::chrono::milliseconds aTimeout,
                         ObjectCallback aCallback)
{
  ++counts_.watches;
  auto watcher = std::make_shared<Watcher>();
  watcher->key = aKey;
  watcher->afterVersion = aAfterVersion;
  watcher->callback = std::move(aCallback);
  watchers_.push_back(watcher);
  const StoreResult<StoredObject> current = objects_->Get(aKey);
  if (faults_.isUnavailable || current.error == StoreError::Invalid ||
      (current.value && current.value->version > aAfterVersion)) {
    Respond(watcher);
    return;
  }
  Schedule(std::max(aTimeout, std::chrono::milliseconds(0)),
           [this, watcher] { Respond(watcher); });
}

void
MemoryObjectStore::List(std::string_view aPrefix, ListCallback aCallback)
{
  ++counts_.lists;
  Read<std::vector<std::string>>(
    [this, prefix = std::string(aPrefix)] { return objects_->List(prefix); },
    std::move(aCallback));
}

void
MemoryObjectStore::SetFaults(const StoreFaults& aFaults)
{
  faults_ = aFaults;
  if (!faults_.isUnavailable) {
    return;
  }
  const auto watchers = watchers_;
  for (const std::shared_ptr<Watcher>& watcher : watchers) {
    Respond(watcher);
  }
}

int
MemoryObjectStore::ApplyLateWrites()
{
  const std::vector<WriteEffect> writes = std::exchange(lateWrites_, {});
  return static_cast<int>(
    std::count_if(writes.begin(), writes.end(), [](const WriteEffect& aEffect) {
      return aEffect().error == StoreError::None;
    }));
}

template<typename Value>
void
MemoryObjectStore::Read(
  std::function<StoreResult<Value>()> aRead,
  std::function<void(const StoreResult<Value>&)> aCallback)
{
  if (faults_.isUnavailable) {
    Schedule(faults_.delay,
             [result = UnavailableResult<Value>(faults_),
              callback = std::move(aCallback)] { callback(result); });
    return;
  }
  Schedule(faults_.delay,
           [this,
            read = std::move(aRead),
            callback = std::move(aCallback),
            responseDelay = faults_.responseDelay] {
             if (responseDelay.count() == 0) {
               callback(read());
               return;
             }
             Schedule(responseDelay,
                      [result = read(), callback] { callback(result); });
           });
}

void
MemoryObjectStore::Write(WriteEffect aEffect, VersionCallback aCallback)
{
  if (faults_.isUnavailable) {
    Schedule(faults_.delay,
             [result = UnavailableResult<std::uint64_t>(faults_),
              callback = std::move(aCallback)] { callback(result); });
    return;
  }
  const StoreResult<std::uint64_t> lost{ {},
                                         StoreError::Unavailable,
                                         "response lost" };
  if (faults_.lateWrites > 0) {
    --faults_.lateWrites;
    lateWrites_.push_back(std::move(aEffect));
    Schedule(faults_.delay,
             [lost, callback = std::move(aCallback)] { callback(lost); });
    return;
  }
  bool isResponseLost = false;
  if (faults_.lostWriteResponses > 0) {
    --faults_.lostWriteResponses;
    isResponseLost = true;
  }
  Schedule(faults_.delay,
           [this,
            isResponseLost,
            lost,
            effect = std::move(aEffect),
            callback = std::move(aCallback),
            responseDelay = faults_.responseDelay] {
             const StoreResult<std::uint64_t> result = effect();
             const StoreResult<std::uint64_t>& response =
               isResponseLost ? lost : result;
             if (responseDelay.count() == 0) {
               callback(response);
               return;
             }
             Schedule(responseDelay,
                      [response, callback] { callback(response); });
           });
}

void
MemoryObjectStore::Schedule(std::chrono::milliseconds aDelay,
                            std::function<void()> aAction)
{
  QTimer::singleShot(aDelay, Qt::PreciseTimer, &context_, std::move(aAction));
}

void
MemoryObjectStore::Respond(const std::shared_ptr<Watcher>& aWatcher)
{
  if (aWatcher->isResponseScheduled) {
    return;
  }
  aWatcher->isResponseScheduled = true;
  watchers_.remove(aWatcher);
  Read<StoredObject>([this, aWatcher] { return objects_->Get(aWatcher->key); },
                     aWatcher->callback);
}

void
MemoryObjectStore::OnChanged(const StoredObject& aObject)
{
  const auto watchers = watchers_;
  for (const std::shared_ptr<Watcher>& watcher : watchers) {
    if (watcher->key == aObject.key &&
        aObject.version > watcher->afterVersion) {
      Respond(watcher);
    }
  }
}

} // namespace filbertbeam
