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

} // namespace

std::string
EncodePeerSnapshot(const PeerSnapshot& aSnapshot)
{
  QJsonArray hosts;
  for (const PeerHost& host : aSnapshot.hosts) {
    QJsonObject item = EndpointToJson(host.address);
    item[kName] = QString::fromStdString(host.name);
    hosts.append(item);
  }
  const QJsonObject snapshot{
    { kConfiguration, ObjectsToJson(aSnapshot.configuration) },
    { kBackendServers, ObjectsToJson(aSnapshot.backendServers) },
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
  snapshot.configuration = ObjectsFromJson(json[kConfiguration].toArray());
  snapshot.backendServers = ObjectsFromJson(json[kBackendServers].toArray());
  if (snapshot.configuration.empty()) {
    return std::nullopt;
  }
  for (const QJsonValue item : json[kHosts].toArray()) {
    if (const auto address = EndpointFromJson(item.toObject())) {
      snapshot.hosts.push_back(
        { item[kName].toString().toStdString(), *address });
    }
  }
  return snapshot;
}

} // namespace filbertbeam
