#include "gateway/PeerSnapshot.h"

#include "gateway/EndpointJson.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace filbertbeam {

namespace {

constexpr const char* kConfiguration = "configuration";
constexpr const char* kBackendServers = "backend_servers";
constexpr const char* kHosts = "hosts";
constexpr const char* kName = "name";
constexpr const char* kRevision = "revision";
constexpr const char* kContent = "content";
constexpr const char* kStatus = "status";
constexpr const char* kObjects = "objects";
constexpr const char* kNewestChange = "newest_change";
constexpr const char* kSnapshot = "snapshot";
constexpr const char* kProcessorCores = "processor_cores";
constexpr const char* kDomain = "domain";
constexpr const char* kAsOf = "as_of";
constexpr const char* kEvents = "events";
constexpr const char* kIsDeleted = "deleted";

QJsonObject
ObjectToJson(const CatalogObject& aObject)
{
  return { { kName, QString::fromStdString(aObject.name) },
           { kRevision, static_cast<qint64>(aObject.revision) },
           { kContent, aObject.content },
           { kStatus, aObject.status } };
}

CatalogObject
ObjectFromJson(const QJsonObject& aItem)
{
  CatalogObject object;
  object.name = aItem[kName].toString().toStdString();
  object.revision = static_cast<std::uint64_t>(aItem[kRevision].toInteger());
  object.content = aItem[kContent].toObject();
  object.status = aItem[kStatus].toObject();
  return object;
}

QJsonArray
ObjectsToJson(const CatalogFollower::Objects& aObjects)
{
  QJsonArray items;
  for (const auto& [name, object] : aObjects) {
    items.append(ObjectToJson(object));
  }
  return items;
}

CatalogFollower::Objects
ObjectsFromJson(const QJsonArray& aItems)
{
  CatalogFollower::Objects objects;
  for (const QJsonValue item : aItems) {
    CatalogObject object = ObjectFromJson(item.toObject());
    std::string name = object.name;
    objects.emplace(std::move(name), std::move(object));
  }
  return objects;
}

QJsonObject
CopyToJson(const CatalogCopy& aCopy)
{
  return { { kNewestChange, static_cast<qint64>(aCopy.newestChange) },
           { kAsOf, static_cast<qint64>(aCopy.revision) },
           { kObjects, ObjectsToJson(aCopy.objects) } };
}

CatalogCopy
CopyFromJson(const QJsonObject& aObject)
{
  return { ObjectsFromJson(aObject[kObjects].toArray()),
           static_cast<std::uint64_t>(aObject[kNewestChange].toInteger()),
           static_cast<std::uint64_t>(aObject[kAsOf].toInteger()) };
}

QJsonObject
ChangesToJson(const CatalogChanges& aChanges)
{
  if (aChanges.failure.error != CatalogError::None) {
    return {};
  }
  QJsonArray events;
  for (const CatalogEvent& event : aChanges.events) {
    QJsonObject item = ObjectToJson(event.object);
    item[kIsDeleted] = event.isDeleted;
    events.append(item);
  }
  return { { kAsOf, static_cast<qint64>(aChanges.revision) },
           { kEvents, events } };
}

CatalogChanges
ChangesFromJson(const QJsonObject& aObject)
{
  CatalogChanges changes;
  changes.revision = static_cast<std::uint64_t>(aObject[kAsOf].toInteger());
  if (changes.revision == 0) {
    changes.failure = {
      CatalogError::HistoryExpired,
      "the history of the peer does not contain all changes"
    };
    return changes;
  }
  for (const QJsonValue value : aObject[kEvents].toArray()) {
    const QJsonObject item = value.toObject();
    changes.events.push_back(
      { ObjectFromJson(item), item[kIsDeleted].toBool() });
  }
  return changes;
}

} // namespace

QJsonObject
PeerHostToJson(const PeerHost& aHost)
{
  QJsonObject object = EndpointToJson(aHost.address);
  object[kDomain] = QString::fromStdString(aHost.domain);
  object[kSnapshot] = EndpointToJson(aHost.snapshot);
  object[kProcessorCores] = aHost.processorCores;
  return object;
}

std::optional<PeerHost>
PeerHostFromJson(const std::string& aName, const QJsonObject& aObject)
{
  const auto address = EndpointFromJson(aObject);
  if (!address) {
    return std::nullopt;
  }
  return PeerHost{
    aName,
    aObject[kDomain].toString().toStdString(),
    *address,
    EndpointFromJson(aObject[kSnapshot].toObject()).value_or(Endpoint{}),
    std::max(aObject[kProcessorCores].toDouble(), 0.0)
  };
}

std::string
EncodePeerSnapshot(const PeerSnapshot& aSnapshot)
{
  QJsonArray hosts;
  for (const PeerHost& host : aSnapshot.hosts) {
    QJsonObject item = PeerHostToJson(host);
    item[kName] = QString::fromStdString(host.name);
    hosts.append(item);
  }
  const QJsonObject snapshot{
    { kConfiguration, CopyToJson(aSnapshot.configuration) },
    { kBackendServers, CopyToJson(aSnapshot.backendServers) },
    { kHosts, hosts }
  };
  return QJsonDocument(snapshot).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<PeerSnapshot>
DecodePeerSnapshot(std::string_view aText)
{
  const QJsonObject json =
    QJsonDocument::fromJson(
      QByteArray(aText.data(), static_cast<qsizetype>(aText.size())))
      .object();
  PeerSnapshot snapshot;
  snapshot.configuration = CopyFromJson(json[kConfiguration].toObject());
  snapshot.backendServers = CopyFromJson(json[kBackendServers].toObject());
  if (snapshot.configuration.objects.empty()) {
    return std::nullopt;
  }
  for (const QJsonValue item : json[kHosts].toArray()) {
    const std::string name = item[kName].toString().toStdString();
    if (auto host = PeerHostFromJson(name, item.toObject())) {
      snapshot.hosts.push_back(std::move(*host));
    }
  }
  return snapshot;
}

std::string
EncodePeerChanges(const PeerChanges& aChanges)
{
  const QJsonObject changes{
    { kConfiguration, ChangesToJson(aChanges.configuration) },
    { kBackendServers, ChangesToJson(aChanges.backendServers) }
  };
  return QJsonDocument(changes).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<PeerChanges>
DecodePeerChanges(std::string_view aText)
{
  const QJsonObject json =
    QJsonDocument::fromJson(
      QByteArray(aText.data(), static_cast<qsizetype>(aText.size())))
      .object();
  if (!json[kConfiguration].isObject() || !json[kBackendServers].isObject()) {
    return std::nullopt;
  }
  return PeerChanges{ ChangesFromJson(json[kConfiguration].toObject()),
                      ChangesFromJson(json[kBackendServers].toObject()) };
}

} // namespace filbertbeam
