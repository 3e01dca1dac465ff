#pragma once

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// The collections that the programs read or write.
enum class Collection
{
  // The operator's routes; one object.
  Configuration,
  // What backend servers say of themselves.
  BackendServers,
  // The hosts of the gateway; written by the hosts.
  Hosts,
  // The hosts that run filbertbeamd; written by the hosts.
  Members,
  // Objects of an ObjectStore that change with the configuration.
  Objects,
  // Objects of an ObjectStore that change with requests. Apart from the
  // others, so that watches do not wake for each request.
  Claims,
};

struct CatalogObject
{
  std::string name;
  // Of the object's last change; grows over all objects of the catalog.
  std::uint64_t revision = 0;
  // What the writer of the object said, not decoded. Empty when the object's
  // bytes are no JSON object.
  QJsonObject content;
  // The part that is written apart from the content.
  QJsonObject status;
};

struct CatalogEvent
{
  CatalogObject object;
  bool isDeleted = false;
  // The object was missing just after the catalog was away, when its writer
  // had no time yet to write it again. Set by followers, not by the catalog.
  bool mayReturn = false;
};

enum class CatalogError
{
  None,
  // The changes since the revision given are no longer known: list again.
  HistoryExpired,
  // A condition did not hold, or the object exists already.
  Conflict,
  NotFound,
  // No usable answer. A write may still take effect later.
  Unavailable,
  // The catalog refused the call for now, for example for its rate.
  Refused,
  // The call itself is at fault, for example its object is too large.
  Invalid,
};

struct CatalogFailure
{
  CatalogError error = CatalogError::None;
  // For logs.
  std::string reason;
  // With Unavailable: no byte of the call left this process.
  bool isUnsent = false;
};

struct CatalogEntry
{
  CatalogFailure failure;
  CatalogObject object;
};

struct CatalogPage
{
  CatalogFailure failure;
  std::vector<CatalogObject> objects;
  // Continue after the last object's name.
  bool hasMore = false;
  // The catalog's revision at the time of the page; watch from here.
  std::uint64_t revision = 0;
};

struct CatalogChanges
{
  CatalogFailure failure;
  std::vector<CatalogEvent> events;
  std::uint64_t revision = 0;
};

// Versioned objects in collections, with watches. Calls never block. Callbacks
// come from the event loop, exactly once unless the catalog is destroyed.
class ObjectCatalog
{
public:
  using PageCallback = std::function<void(CatalogPage)>;
  using ChangesCallback = std::function<void(CatalogChanges)>;
  using EntryCallback = std::function<void(CatalogEntry)>;
  using WriteCallback = std::function<void(const CatalogFailure&)>;

  virtual ~ObjectCatalog() = default;

  // One page of aCollection, of the objects with names after aAfter.
  virtual void List(Collection aCollection,
                    std::string_view aAfter,
                    PageCallback aCallback) = 0;
  // The changes since aRevision; waits for one at most aWait.
  virtual void Watch(Collection aCollection,
                     std::uint64_t aRevision,
                     std::chrono::milliseconds aWait,
                     ChangesCallback aCallback) = 0;
  virtual void Read(Collection aCollection,
                    std::string_view aName,
                    EntryCallback aCallback) = 0;
  // Creates an object that must not exist yet; Conflict otherwise. Answers
  // with the object as written.
  virtual void Create(Collection aCollection,
                      std::string_view aName,
                      const QJsonObject& aContent,
                      EntryCallback aCallback) = 0;
  // Replaces the content of an object that must have aRevision; Conflict
  // otherwise, NotFound when there is none.
  virtual void Replace(Collection aCollection,
                       std::string_view aName,
                       const QJsonObject& aContent,
                       std::uint64_t aRevision,
                       EntryCallback aCallback) = 0;
  // Creates the object, or replaces its content whatever its revision.
  virtual void Put(Collection aCollection,
                   std::string_view aName,
                   const QJsonObject& aContent,
                   WriteCallback aCallback) = 0;
  virtual void Remove(Collection aCollection,
                      std::string_view aName,
                      WriteCallback aCallback) = 0;
};

} // namespace filbertbeam
