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

QJsonArray
ObjectsToJson(const CatalogFollower::Objects& aObjects)
{
  QJsonArray items;
  for (const auto& [name, object] : aObjects) {
    items.append(
      QJsonObject{ { kName, QString::fromStdString(name) },
                   { kRevision, static_cast<qint64>(object.revision) },
                   { kContent, object.content },
                   { kStatus, object.status } });
  }
  return items;
}

CatalogFollower::Objects
ObjectsFromJson(const QJsonArray& aItems)
{
  CatalogFollower::Objects objects;
  for (const QJsonValue item : aItems) {
    CatalogObject object;
    object.name = item[kName].toString().toStdString();
    object.revision = static_cast<std::uint64_t>(item[kRevision].toInteger());
    object.content = item[kContent].toObject();
    object.status = item[kStatus].toObject();
    objects.emplace(object.name, object);
  }
  return objects;
}

QJsonObject
CopyToJson(const CatalogCopy& aCopy)
{
  return { { kNewestChange, static_cast<qint64>(aCopy.newestChange) },
           { kObjects, ObjectsToJson(aCopy.objects) } };
}

CatalogCopy
CopyFromJson(const QJsonObject& aObject)
{
  return { ObjectsFromJson(aObject[kObjects].toArray()),
           static_cast<std::uint64_t>(aObject[kNewestChange].toInteger()) };
}

} // namespace

QJsonObject
PeerHostToJson(const PeerHost& aHost)
{
  QJsonObject object = EndpointToJson(aHost.address);
  object[kSnapshot] = EndpointToJson(aHost.snapshot);
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
    *address,
    EndpointFromJson(aObject[kSnapshot].toObject()).value_or(Endpoint{})
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

} // namespace filbertbeam
