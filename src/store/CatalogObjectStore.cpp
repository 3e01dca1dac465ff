#include "store/CatalogObjectStore.h"

#include <QDeadlineTimer>
#include <QTimer>

#include <algorithm>
#include <array>
#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// The maximum wait that the catalog accepts in one call.
constexpr milliseconds kMaxWait{ 30'000 };
// Sorts after all keys in use: '~' is the last of the allowed characters.
constexpr const char* kAfterAllKeys = "~";

constexpr std::string_view kClaimsPrefix = "claims/";
constexpr std::array kCollections = { Collection::Claims, Collection::Objects };

// An object's version of the store has the generation above these bits, so that
// versions also increase when the catalog is restored from a copy.
constexpr int kRevisionBits = 40;
constexpr std::uint64_t kRevisionMask =
  (std::uint64_t{ 1 } << kRevisionBits) - 1;

std::uint64_t
ToObjectVersion(const CatalogVersion& aVersion)
{
  return (aVersion.generation << kRevisionBits) |
         (aVersion.revision & kRevisionMask);
}

CatalogVersion
ToCatalogVersion(std::uint64_t aObjectVersion)
{
  return { aObjectVersion >> kRevisionBits, aObjectVersion & kRevisionMask };
}

Collection
CollectionOf(std::string_view aKey)
{
  return aKey.starts_with(kClaimsPrefix) ? Collection::Claims
                                         : Collection::Objects;
}

StoreError
ToStoreError(CatalogError aError)
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
ToStoreFailure(const CatalogFailure& aFailure)
{
  return {
    {}, ToStoreError(aFailure.error), aFailure.reason, aFailure.isUnsent
  };
}

// Returns why the key or value can't be written, or an empty text if it can.
std::string_view
FindInvalidReason(std::string_view aKey, std::string_view aValue)
{
  if (!IsValidObjectKey(aKey)) {
    return "invalid key";
  }
  return aValue.size() > kMaxObjectBytes ? "the value is too large" : "";
}

// aReplacedVersion is the version that this value replaces. It is part of the
// content so that a write of an unchanged value also creates a new version.
QJsonObject
EncodeContent(std::string_view aValue, std::uint64_t aReplacedVersion)
{
  const QByteArray bytes(aValue.data(), static_cast<qsizetype>(aValue.size()));
  return { { "value", QString::fromLatin1(bytes.toBase64()) },
           { "replaces", static_cast<qint64>(aReplacedVersion) } };
}

StoreResult<StoredObject>
DecodeObject(const CatalogObject& aObject)
{
  const QJsonValue value = aObject.content["value"];
  auto decoded = QByteArray::fromBase64Encoding(
    value.toString().toLatin1(), QByteArray::AbortOnBase64DecodingErrors);
  if (!value.isString() || !decoded) {
    return { {}, StoreError::Unavailable, "the object has no valid value" };
  }
  return { StoredObject{ aObject.name,
                         (*decoded).toStdString(),
                         ToObjectVersion(aObject.version) },
           StoreError::None,
           {} };
}

StoreResult<StoredObject>
DecodeObject(const CatalogEntry& aEntry)
{
  return aEntry.failure.error == CatalogError::None
           ? DecodeObject(aEntry.object)
           : ToStoreFailure<StoredObject>(aEntry.failure);
}

StoreResult<std::uint64_t>
VersionOf(const CatalogEntry& aEntry)
{
  if (aEntry.failure.error != CatalogError::None) {
    return ToStoreFailure<std::uint64_t>(aEntry.failure);
  }
  return { ToObjectVersion(aEntry.object.version), StoreError::None, {} };
}

} // namespace

// Watches a collection until the requested object changes. The callback of
// the pending catalog call keeps this alive.
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
    , afterVersion_(ToCatalogVersion(aAfterVersion))
    , deadline_(std::max(aTimeout, milliseconds(0)))
    , callback_(std::move(aCallback))
  {
  }

  void Start()
  {
    // Without a version from the caller, the revision to watch from is unknown.
    if (!afterVersion_.IsKnown()) {
      FetchRevision();
      return;
    }
    WaitForChangeAfter(afterVersion_);
  }

private:
  // Fetches the catalog's revision before it reads the object, so that no
  // change is missed between the read and the watch from that revision.
  void FetchRevision()
  {
    catalog_.List(collection_,
                  kAfterAllKeys,
                  ListFreshness::Newest,
                  [self = shared_from_this()](const CatalogPage& aPage) {
                    if (aPage.failure.error != CatalogError::None) {
                      self->callback_(
                        ToStoreFailure<StoredObject>(aPage.failure));
                      return;
                    }
                    self->ReadThenWait(aPage.version);
                  });
  }

  void ReadThenWait(const CatalogVersion& aVersion)
  {
    catalog_.Read(
      collection_,
      key_,
      [self = shared_from_this(), aVersion](const CatalogEntry& aEntry) {
        const bool isAbsent = aEntry.failure.error == CatalogError::NotFound;
        const bool isUnchanged = aEntry.failure.error == CatalogError::None &&
                                 aEntry.object.version <= self->afterVersion_;
        if (isAbsent || isUnchanged) {
          self->WaitForChangeAfter(aVersion);
          return;
        }
        self->callback_(DecodeObject(aEntry));
      });
  }

  void WaitForChangeAfter(const CatalogVersion& aVersion)
  {
    const milliseconds remaining(deadline_.remainingTime());
    if (remaining.count() <= 0) {
      catalog_.Read(collection_,
                    key_,
                    [self = shared_from_this()](const CatalogEntry& aEntry) {
                      self->callback_(DecodeObject(aEntry));
                    });
      return;
    }
    catalog_.Watch(collection_,
                   aVersion,
                   std::min(remaining, kMaxWait),
                   [self = shared_from_this()](const CatalogChanges& aChanges) {
                     self->OnChanges(aChanges);
                   });
  }

  void OnChanges(const CatalogChanges& aChanges)
  {
    if (aChanges.failure.error == CatalogError::HistoryExpired &&
        !hasRestarted_) {
      // Restarts only once: a catalog that discards its history immediately
      // would cause an endless loop of requests.
      hasRestarted_ = true;
      FetchRevision();
      return;
    }
    if (aChanges.failure.error != CatalogError::None) {
      callback_(ToStoreFailure<StoredObject>(aChanges.failure));
      return;
    }
    const CatalogObject* newest = nullptr;
    for (const CatalogEvent& event : aChanges.events) {
      if (event.object.name == key_ && !event.isDeleted &&
          event.object.version > afterVersion_) {
        newest = &event.object;
      }
    }
    if (newest != nullptr) {
      callback_(DecodeObject(*newest));
      return;
    }
    WaitForChangeAfter(aChanges.version);
  }

  ObjectCatalog& catalog_;
  const Collection collection_;
  const std::string key_;
  const CatalogVersion afterVersion_;
  const QDeadlineTimer deadline_;
  const ObjectCallback callback_;
  bool hasRestarted_ = false;
};

// Lists the pages of all collections. The callback of the pending catalog call
// keeps this alive.
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

  void RequestPage(const std::string& aAfter)
  {
    catalog_.List(kCollections.at(collection_),
                  aAfter,
                  ListFreshness::Newest,
                  [self = shared_from_this()](const CatalogPage& aPage) {
                    self->OnPage(aPage);
                  });
  }

private:
  void OnPage(const CatalogPage& aPage)
  {
    if (aPage.failure.error != CatalogError::None) {
      callback_(ToStoreFailure<std::vector<std::string>>(aPage.failure));
      return;
    }
    for (const CatalogObject& object : aPage.objects) {
      if (object.name.starts_with(prefix_)) {
        keys_.push_back(object.name);
      }
    }
    if (aPage.hasMore && !aPage.objects.empty()) {
      RequestPage(aPage.objects.back().name);
      return;
    }
    ++collection_;
    if (collection_ < kCollections.size()) {
      RequestPage({});
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
                   callback(DecodeObject(aEntry));
                 });
}

void
CatalogObjectStore::Create(std::string_view aKey,
                           std::string_view aValue,
                           VersionCallback aCallback)
{
  if (const auto reason = FindInvalidReason(aKey, aValue); !reason.empty()) {
    Refuse(reason, std::move(aCallback));
    return;
  }
  catalog_->Create(
    CollectionOf(aKey),
    aKey,
    EncodeContent(aValue, 0),
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
  if (const auto reason = FindInvalidReason(aKey, aValue); !reason.empty()) {
    Refuse(reason, std::move(aCallback));
    return;
  }
  if (aExpectedVersion == 0) {
    Refuse("the expected version of an object must not be 0",
           std::move(aCallback));
    return;
  }
  catalog_->Replace(CollectionOf(aKey),
                    aKey,
                    EncodeContent(aValue, aExpectedVersion),
                    ToCatalogVersion(aExpectedVersion),
                    [callback = std::move(aCallback)](CatalogEntry aEntry) {
                      // A deleted object doesn't have the expected version.
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
    ->RequestPage({});
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
