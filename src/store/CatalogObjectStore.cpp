#include "store/CatalogObjectStore.h"

#include <QDeadlineTimer>
#include <QTimer>

#include <algorithm>
#include <array>
#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// The longest wait that the catalog takes in one call.
constexpr milliseconds kLongestWait{ 30'000 };
// No key that is in use comes after this: '~' is the last character of keys.
constexpr const char* kBehindAllKeys = "~";

constexpr std::string_view kClaimsPrefix = "claims/";
constexpr std::array kCollections = { Collection::Claims, Collection::Objects };

Collection
CollectionOf(std::string_view aKey)
{
  return aKey.starts_with(kClaimsPrefix) ? Collection::Claims
                                         : Collection::Objects;
}

StoreError
ErrorOf(CatalogError aError)
{
  switch (aError) {
    case CatalogError::None:
      return StoreError::None;
    case CatalogError::NotFound:
      return StoreError::NotFound;
    case CatalogError::Conflict:
      return StoreError::Conflict;
    case CatalogError::Invalid:
      return StoreError::Invalid;
    case CatalogError::HistoryExpired:
    case CatalogError::Unavailable:
    case CatalogError::Refused:
      break;
  }
  return StoreError::Unavailable;
}

template<typename Value>
StoreResult<Value>
FailureOf(const CatalogFailure& aFailure)
{
  return { {}, ErrorOf(aFailure.error), aFailure.reason, aFailure.isUnsent };
}

// Empty for what can be written.
std::string_view
FaultOf(std::string_view aKey, std::string_view aValue)
{
  if (!IsValidObjectKey(aKey)) {
    return "invalid key";
  }
  return aValue.size() > kMaxObjectBytes ? "the value is too large" : "";
}

// aReplaced is the version that this value replaces: a write that would change
// nothing otherwise gets a version of its own as well.
QJsonObject
ContentOf(std::string_view aValue, std::uint64_t aReplaced)
{
  const QByteArray bytes(aValue.data(), static_cast<qsizetype>(aValue.size()));
  return { { "value", QString::fromLatin1(bytes.toBase64()) },
           { "replaces", static_cast<qint64>(aReplaced) } };
}

StoreResult<StoredObject>
ReadStored(const CatalogObject& aObject)
{
  const QJsonValue value = aObject.content["value"];
  auto decoded = QByteArray::fromBase64Encoding(
    value.toString().toLatin1(), QByteArray::AbortOnBase64DecodingErrors);
  if (!value.isString() || !decoded) {
    return { {}, StoreError::Unavailable, "the object holds no value" };
  }
  return { StoredObject{
             aObject.name, (*decoded).toStdString(), aObject.revision },
           StoreError::None,
           {} };
}

StoreResult<StoredObject>
ReadStored(const CatalogEntry& aEntry)
{
  return aEntry.failure.error == CatalogError::None
           ? ReadStored(aEntry.object)
           : FailureOf<StoredObject>(aEntry.failure);
}

StoreResult<std::uint64_t>
VersionOf(const CatalogEntry& aEntry)
{
  if (aEntry.failure.error != CatalogError::None) {
    return FailureOf<std::uint64_t>(aEntry.failure);
  }
  return { aEntry.object.revision, StoreError::None, {} };
}

} // namespace

// Follows the changes of a collection until one of them is what its caller
// waits for. Kept alive by the call that it waits for.
class CatalogObjectStore::WatchCall
  : public std::enable_shared_from_this<WatchCall>
{
public:
  WatchCall(ObjectCatalog& aCatalog,
            std::string_view aKey,
            std::uint64_t aAfterVersion,
            milliseconds aTimeout,
            ObjectCallback aCallback)
    : catalog_(aCatalog)
    , collection_(CollectionOf(aKey))
    , key_(aKey)
    , afterVersion_(aAfterVersion)
    , deadline_(std::max(aTimeout, milliseconds(0)))
    , callback_(std::move(aCallback))
  {
  }

  void Start()
  {
    // Nothing tells when an object that the caller has not seen was changed.
    if (afterVersion_ == 0) {
      FindRevision();
      return;
    }
    WaitFrom(afterVersion_);
  }

private:
  // Reads the object after the revision, so that no change falls between the
  // object as read and the changes that are waited for.
  void FindRevision()
  {
    catalog_.List(collection_,
                  kBehindAllKeys,
                  [self = shared_from_this()](const CatalogPage& aPage) {
                    if (aPage.failure.error != CatalogError::None) {
                      self->callback_(FailureOf<StoredObject>(aPage.failure));
                      return;
                    }
                    self->ReadThenWaitFrom(aPage.revision);
                  });
  }

  void ReadThenWaitFrom(std::uint64_t aRevision)
  {
    catalog_.Read(
      collection_,
      key_,
      [self = shared_from_this(), aRevision](const CatalogEntry& aEntry) {
        const bool isAbsent = aEntry.failure.error == CatalogError::NotFound;
        const bool isAsBefore = aEntry.failure.error == CatalogError::None &&
                                aEntry.object.revision <= self->afterVersion_;
        if (isAbsent || isAsBefore) {
          self->WaitFrom(aRevision);
          return;
        }
        self->callback_(ReadStored(aEntry));
      });
  }

  void WaitFrom(std::uint64_t aRevision)
  {
    const milliseconds left(deadline_.remainingTime());
    if (left.count() <= 0) {
      catalog_.Read(collection_,
                    key_,
                    [self = shared_from_this()](const CatalogEntry& aEntry) {
                      self->callback_(ReadStored(aEntry));
                    });
      return;
    }
    catalog_.Watch(collection_,
                   aRevision,
                   std::min(left, kLongestWait),
                   [self = shared_from_this()](const CatalogChanges& aChanges) {
                     self->OnChanges(aChanges);
                   });
  }

  void OnChanges(const CatalogChanges& aChanges)
  {
    if (aChanges.failure.error == CatalogError::HistoryExpired &&
        !hasLostHistory_) {
      // Once only: a catalog that forgets at once would be asked without end.
      hasLostHistory_ = true;
      FindRevision();
      return;
    }
    if (aChanges.failure.error != CatalogError::None) {
      callback_(FailureOf<StoredObject>(aChanges.failure));
      return;
    }
    const CatalogObject* newest = nullptr;
    for (const CatalogEvent& event : aChanges.events) {
      if (event.object.name == key_ && !event.isDeleted &&
          event.object.revision > afterVersion_) {
        newest = &event.object;
      }
    }
    if (newest != nullptr) {
      callback_(ReadStored(*newest));
      return;
    }
    WaitFrom(aChanges.revision);
  }

  ObjectCatalog& catalog_;
  const Collection collection_;
  const std::string key_;
  const std::uint64_t afterVersion_;
  const QDeadlineTimer deadline_;
  const ObjectCallback callback_;
  bool hasLostHistory_ = false;
};

// Reads the pages of all collections. Kept alive by the call that it waits
// for.
class CatalogObjectStore::ListCall
  : public std::enable_shared_from_this<ListCall>
{
public:
  ListCall(ObjectCatalog& aCatalog,
           std::string_view aPrefix,
           ListCallback aCallback)
    : catalog_(aCatalog)
    , prefix_(aPrefix)
    , callback_(std::move(aCallback))
  {
  }

  void Next(const std::string& aAfter)
  {
    catalog_.List(kCollections.at(collection_),
                  aAfter,
                  [self = shared_from_this()](const CatalogPage& aPage) {
                    self->OnPage(aPage);
                  });
  }

private:
  void OnPage(const CatalogPage& aPage)
  {
    if (aPage.failure.error != CatalogError::None) {
      callback_(FailureOf<std::vector<std::string>>(aPage.failure));
      return;
    }
    for (const CatalogObject& object : aPage.objects) {
      if (object.name.starts_with(prefix_)) {
        keys_.push_back(object.name);
      }
    }
    if (aPage.hasMore && !aPage.objects.empty()) {
      Next(aPage.objects.back().name);
      return;
    }
    ++collection_;
    if (collection_ < kCollections.size()) {
      Next({});
      return;
    }
    std::ranges::sort(keys_);
    callback_({ std::move(keys_), StoreError::None, {} });
  }

  ObjectCatalog& catalog_;
  const std::string prefix_;
  const ListCallback callback_;
  std::size_t collection_ = 0;
  std::vector<std::string> keys_;
};

CatalogObjectStore::CatalogObjectStore(std::unique_ptr<ObjectCatalog> aCatalog)
  : catalog_(std::move(aCatalog))
{
}

void
CatalogObjectStore::Get(std::string_view aKey, ObjectCallback aCallback)
{
  if (!IsValidObjectKey(aKey)) {
    Refuse("invalid key", std::move(aCallback));
    return;
  }
  catalog_->Read(CollectionOf(aKey),
                 aKey,
                 [callback = std::move(aCallback)](const CatalogEntry& aEntry) {
                   callback(ReadStored(aEntry));
                 });
}

void
CatalogObjectStore::Create(std::string_view aKey,
                           std::string_view aValue,
                           VersionCallback aCallback)
{
  if (const auto fault = FaultOf(aKey, aValue); !fault.empty()) {
    Refuse(fault, std::move(aCallback));
    return;
  }
  catalog_->Create(
    CollectionOf(aKey),
    aKey,
    ContentOf(aValue, 0),
    [callback = std::move(aCallback)](const CatalogEntry& aEntry) {
      callback(VersionOf(aEntry));
    });
}

void
CatalogObjectStore::Update(std::string_view aKey,
                           std::string_view aValue,
                           std::uint64_t aExpectedVersion,
                           VersionCallback aCallback)
{
  if (const auto fault = FaultOf(aKey, aValue); !fault.empty()) {
    Refuse(fault, std::move(aCallback));
    return;
  }
  if (aExpectedVersion == 0) {
    Refuse("version 0 names no object", std::move(aCallback));
    return;
  }
  catalog_->Replace(CollectionOf(aKey),
                    aKey,
                    ContentOf(aValue, aExpectedVersion),
                    aExpectedVersion,
                    [callback = std::move(aCallback)](CatalogEntry aEntry) {
                      // An object that is gone no longer has the expected
                      // version.
                      if (aEntry.failure.error == CatalogError::NotFound) {
                        aEntry.failure.error = CatalogError::Conflict;
                      }
                      callback(VersionOf(aEntry));
                    });
}

void
CatalogObjectStore::Watch(std::string_view aKey,
                          std::uint64_t aAfterVersion,
                          milliseconds aTimeout,
                          ObjectCallback aCallback)
{
  if (!IsValidObjectKey(aKey)) {
    Refuse("invalid key", std::move(aCallback));
    return;
  }
  std::make_shared<WatchCall>(
    *catalog_, aKey, aAfterVersion, aTimeout, std::move(aCallback))
    ->Start();
}

void
CatalogObjectStore::List(std::string_view aPrefix, ListCallback aCallback)
{
  if (!IsValidObjectPrefix(aPrefix)) {
    Refuse("invalid prefix", std::move(aCallback));
    return;
  }
  std::make_shared<ListCall>(*catalog_, aPrefix, std::move(aCallback))
    ->Next({});
}

template<typename Value>
void
CatalogObjectStore::Refuse(
  std::string_view aReason,
  std::function<void(const StoreResult<Value>&)> aCallback)
{
  QTimer::singleShot(
    0,
    &context_,
    [reason = std::string(aReason), callback = std::move(aCallback)] {
      callback({ {}, StoreError::Invalid, reason });
    });
}

} // namespace filbertbeam
