#pragma once

#include "catalog/CatalogVersion.h"
#include "catalog/GenerationTracker.h"
#include "http/HttpMessage.h"

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// The collections of objects that the programs read or write.
enum class Collection
{
  // The operator's configuration with its routes; a single object.
  Configuration,
  // The entries that backend servers write about themselves.
  BackendServers,
  // The hosts of the gateway; each host writes its own entry.
  Hosts,
  // The hosts that run filbertbeamd; each host writes its own entry.
  Members,
  // Objects of an ObjectStore that change with the configuration.
  Objects,
  // Objects of an ObjectStore that change with requests. A collection of their
  // own, so that watches of the other objects do not end for each request.
  Claims,
};

struct CatalogObject
{
  std::string name;
  // The version of the catalog that the object's last change created, in the
  // generation in which the object was read. Versions increase over all objects
  // of the catalog.
  CatalogVersion version;
  // The content as its writer sent it, not decoded. Empty when it is not a JSON
  // object.
  QJsonObject content;
  // The part of the object that is written separately from the content.
  QJsonObject status;
};

struct CatalogEvent
{
  CatalogObject object;
  bool isDeleted = false;
};

enum class CatalogError
{
  None,
  // The catalog no longer has the changes since the given revision; the
  // collection has to be listed again.
  HistoryExpired,
  // The condition of the write did not hold, or the object exists already.
  Conflict,
  NotFound,
  // No usable response was received, or a write was answered after the catalog
  // had been restored. The write may have taken effect or do so later.
  Unavailable,
  // The catalog refused the call for the time being, for example since a rate
  // limit was exceeded.
  Refused,
  // The call itself is invalid, for example because its object is too large.
  Invalid,
};

struct CatalogFailure
{
  CatalogError error = CatalogError::None;
  // A description of the failure for logs.
  std::string reason;
  // True with Unavailable when no byte of the request was sent.
  bool isUnsent = false;
};

struct CatalogEntry
{
  CatalogFailure failure;
  CatalogObject object;
};

// How recent the data of a list has to be.
enum class ListFreshness
{
  // All changes that the catalog has acknowledged.
  Newest,
  // The data may be some seconds old, which costs the catalog far less. The
  // page tells its revision.
  MayBeStale,
};

struct CatalogPage
{
  CatalogFailure failure;
  std::vector<CatalogObject> objects;
  // True when further objects follow; the next page starts after the name of
  // the last object.
  bool hasMore = false;
  // The catalog's version at the time of the page, from which a watch can
  // start.
  CatalogVersion version;
  // The page may lack changes that the catalog acknowledged before the call.
  bool mayBeStale = false;
};

struct CatalogChanges
{
  CatalogFailure failure;
  std::vector<CatalogEvent> events;
  // The changes up to this version are known.
  CatalogVersion version;
};

// Stores versioned objects in collections and supports watches. Calls never
// block. Each callback is called from the event loop exactly once, or not at
// all when the catalog is destroyed before.
class ObjectCatalog
{
public:
  using PageCallback = std::function<void(CatalogPage)>;
  using ChangesCallback = std::function<void(CatalogChanges)>;
  using EntryCallback = std::function<void(CatalogEntry)>;
  using WriteCallback = std::function<void(const CatalogFailure&)>;
  using ProbeCallback = std::function<void(const CatalogFailure&)>;

  virtual ~ObjectCatalog() = default;

  // Reads one page of aCollection with the objects whose names follow aAfter.
  virtual void List(Collection aCollection,
                    std::string_view aAfter,
                    ListFreshness aFreshness,
                    PageCallback aCallback) = 0;
  // Reads the changes since aVersion. When there are none, it waits for the
  // first one, but not longer than aWait. Fails with HistoryExpired, without a
  // call, when aVersion is of an earlier generation.
  virtual void Watch(Collection aCollection,
                     const CatalogVersion& aVersion,
                     std::chrono::milliseconds aWait,
                     ChangesCallback aCallback) = 0;
  virtual void Read(Collection aCollection,
                    std::string_view aName,
                    EntryCallback aCallback) = 0;
  // Creates an object and passes it to the callback as it was written. Fails
  // with Conflict when it exists already.
  virtual void Create(Collection aCollection,
                      std::string_view aName,
                      const QJsonObject& aContent,
                      EntryCallback aCallback) = 0;
  // Replaces the content of an object that has aVersion. Fails with Conflict
  // when it has another version, and with NotFound when it does not exist. A
  // version of an earlier generation is a Conflict without a call, since its
  // revision may name other contents now.
  virtual void Replace(Collection aCollection,
                       std::string_view aName,
                       const QJsonObject& aContent,
                       const CatalogVersion& aVersion,
                       EntryCallback aCallback) = 0;
  // Creates the object, or replaces its content regardless of its revision.
  virtual void Put(Collection aCollection,
                   std::string_view aName,
                   const QJsonObject& aContent,
                   WriteCallback aCallback) = 0;
  virtual void Remove(Collection aCollection,
                      std::string_view aName,
                      WriteCallback aCallback) = 0;
  // Makes the cheapest call that shows whether the catalog responds. A response
  // that reports no object is no failure.
  virtual void Probe(ProbeCallback aCallback) = 0;

  // Later calls go to aEndpoint, where the same catalog is served.
  virtual void SetEndpoint(const Endpoint& aEndpoint) = 0;

  // aHandler is called when a response to any call, or a peer, shows that the
  // catalog was restored from an older copy: before the callback of that call,
  // whose response is still of use only to callers that do not depend on
  // earlier ones.
  virtual void SetRestoreHandler(GenerationTracker::Handler aHandler) = 0;
  // The newest known generation; 0 before the first one.
  virtual std::uint64_t Generation() const = 0;
  // A peer has read the catalog in aGeneration; responses of earlier ones fail
  // from now on. Returns false if that cannot be true.
  virtual bool OnPeerGeneration(std::uint64_t aGeneration) = 0;
};

} // namespace filbertbeam
