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
constexpr const char* kVersion = "version";
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

QJsonArray
VersionToJson(const CatalogVersion& aVersion)
{
  return { static_cast<qint64>(aVersion.generation),
           static_cast<qint64>(aVersion.revision) };
}

// Returns an unknown version for any other value.
CatalogVersion
VersionFromJson(const QJsonValue& aValue)
{
  const QJsonArray numbers = aValue.toArray();
  const qint64 generation = numbers.at(0).toInteger(-1);
  const qint64 revision = numbers.at(1).toInteger(-1);
  if (numbers.size() != 2 || generation < 0 || revision < 0 ||
      static_cast<std::uint64_t>(generation) > kMaxCatalogGeneration) {
    return {};
  }
  return { static_cast<std::uint64_t>(generation),
           static_cast<std::uint64_t>(revision) };
}

} // namespace

QJsonObject
CatalogObjectToJson(const CatalogObject& aObject)
{
  return { { kName, QString::fromStdString(aObject.name) },
           { kVersion, VersionToJson(aObject.version) },
           { kContent, aObject.content },
           { kStatus, aObject.status } };
}

CatalogObject
CatalogObjectFromJson(const QJsonObject& aItem)
{
  CatalogObject object;
  object.name = aItem[kName].toString().toStdString();
  object.version = VersionFromJson(aItem[kVersion]);
  object.content = aItem[kContent].toObject();
  object.status = aItem[kStatus].toObject();
  return object;
}

namespace {

QJsonArray
ObjectsToJson(const CatalogFollower::Objects& aObjects)
{
  QJsonArray items;
  for (const auto& [name, object] : aObjects) {
    items.append(CatalogObjectToJson(object));
  }
  return items;
}

CatalogFollower::Objects
ObjectsFromJson(const QJsonArray& aItems)
{
  CatalogFollower::Objects objects;
  for (const QJsonValue item : aItems) {
    CatalogObject object = CatalogObjectFromJson(item.toObject());
    std::string name = object.name;
    objects.emplace(std::move(name), std::move(object));
  }
  return objects;
}

QJsonObject
CopyToJson(const CatalogCopy& aCopy)
{
  return { { kNewestChange, VersionToJson(aCopy.newestChange) },
           { kAsOf, VersionToJson(aCopy.version) },
           { kObjects, ObjectsToJson(aCopy.objects) } };
}

CatalogCopy
CopyFromJson(const QJsonObject& aObject)
{
  return { ObjectsFromJson(aObject[kObjects].toArray()),
           VersionFromJson(aObject[kNewestChange]),
           VersionFromJson(aObject[kAsOf]) };
}

QJsonObject
ChangesToJson(const CatalogChanges& aChanges)
{
  if (aChanges.failure.error != CatalogError::None) {
    return {};
  }
  QJsonArray events;
  for (const CatalogEvent& event : aChanges.events) {
    QJsonObject item = CatalogObjectToJson(event.object);
    item[kIsDeleted] = event.isDeleted;
    events.append(item);
  }
  return { { kAsOf, VersionToJson(aChanges.version) }, { kEvents, events } };
}

CatalogChanges
ChangesFromJson(const QJsonObject& aObject)
{
  CatalogChanges changes;
  changes.version = VersionFromJson(aObject[kAsOf]);
  if (!changes.version.IsKnown()) {
    changes.failure = {
      CatalogError::HistoryExpired,
      "the history of the peer does not contain all changes"
    };
    return changes;
  }
  for (const QJsonValue value : aObject[kEvents].toArray()) {
    const QJsonObject item = value.toObject();
    changes.events.push_back(
      { CatalogObjectFromJson(item), item[kIsDeleted].toBool() });
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
