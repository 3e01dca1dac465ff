#include "configuration/ConfigurationWriter.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <tuple>

namespace filbertbeam {

namespace {

QString
ToQt(const std::string& aText)
{
  return QString::fromStdString(aText);
}

QJsonArray
ToArray(const std::vector<std::string>& aTexts)
{
  QJsonArray array;
  for (const std::string& text : aTexts) {
    array.append(ToQt(text));
  }
  return array;
}

std::string
ToLine(const QJsonObject& aObject)
{
  return QJsonDocument(aObject).toJson(QJsonDocument::Compact).toStdString();
}

std::string
WriteBackendServer(const BackendServer& aBackendServer)
{
  QJsonObject object{ { "name", ToQt(aBackendServer.name) },
                      { "address", ToQt(aBackendServer.address) },
                      { "port", aBackendServer.port },
                      { "region", ToQt(aBackendServer.region) },
                      { "domain", ToQt(aBackendServer.domain) },
                      { "slots", aBackendServer.slots },
                      { "connections", aBackendServer.connections } };
  if (aBackendServer.isLeaving) {
    object["leaving"] = true;
  }
  return ToLine(object);
}

template<typename Item, typename WriteItem>
void
AppendList(std::string& aText,
           std::string_view aName,
           const std::vector<Item>& aItems,
           WriteItem aWriteItem)
{
  aText += '"';
  aText += aName;
  aText += "\":[";
  const char* separator = "\n";
  for (const Item& item : aItems) {
    aText += separator;
    aText += aWriteItem(item);
    separator = ",\n";
  }
  aText += "\n]";
}

} // namespace

void
ConfigurationWriter::Sort(Configuration::Content& aContent)
{
  std::stable_sort(aContent.services.begin(),
                   aContent.services.end(),
                   [](const Service& aLeft, const Service& aRight) {
                     return aLeft.name < aRight.name;
                   });
  std::stable_sort(aContent.routes.begin(),
                   aContent.routes.end(),
                   [](const Route& aLeft, const Route& aRight) {
                     return std::tie(aLeft.host, aLeft.pathPrefix) <
                            std::tie(aRight.host, aRight.pathPrefix);
                   });
  std::stable_sort(aContent.contracts.begin(),
                   aContent.contracts.end(),
                   [](const Contract& aLeft, const Contract& aRight) {
                     return aLeft.customer < aRight.customer;
                   });
}

std::string
ConfigurationWriter::Write(Configuration::Content aContent)
{
  Sort(aContent);
  std::string text = "{";
  AppendList(text, "services", aContent.services, WriteService);
  text += ",\n";
  AppendList(text, "routes", aContent.routes, WriteRoute);
  text += ",\n";
  AppendList(text, "contracts", aContent.contracts, WriteContract);
  return text + "}\n";
}

std::string
ConfigurationWriter::WriteService(const Service& aService)
{
  QJsonObject object{
    { "name", ToQt(aService.name) },
    { "floor", aService.floor },
    { "prefer",
      aService.prefer == DetectionPreference::Precision ? "precision"
                                                        : "detection" },
    { "availability_objective", aService.availabilityObjective }
  };
  if (aService.shedStatus) {
    object["shed_status"] = *aService.shedStatus;
  }
  // The fields before the list are written on one line; the list replaces the
  // closing brace.
  std::string text = ToLine(object);
  text.back() = ',';
  AppendList(
    text, "backend_servers", aService.backendServers, WriteBackendServer);
  return text + '}';
}

std::string
ConfigurationWriter::WriteRoute(const Route& aRoute)
{
  QJsonObject object{ { "path_prefix", ToQt(aRoute.pathPrefix) },
                      { "service", ToQt(aRoute.service) } };
  if (!aRoute.host.empty()) {
    object["host"] = ToQt(aRoute.host);
  }
  if (!aRoute.nonIdempotentMethods.empty()) {
    object["non_idempotent_methods"] = ToArray(aRoute.nonIdempotentMethods);
  }
  return ToLine(object);
}

std::string
ConfigurationWriter::WriteContract(const Contract& aContract)
{
  return ToLine(
    QJsonObject{ { "customer", ToQt(aContract.customer) },
                 { "key_sha256", ToArray(aContract.keySha256) },
                 { "services", ToArray(aContract.services) },
                 { "requests_per_second", aContract.requestsPerSecond } });
}

} // namespace filbertbeam
