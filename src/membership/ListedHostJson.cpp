#include "membership/ListedHostJson.h"

#include <limits>

namespace filbertbeam {

namespace {

bool
ReadText(const QJsonObject& aObject, const char* aName, std::string& aText)
{
  const QJsonValue value = aObject.value(QLatin1String(aName));
  aText = value.toString().toStdString();
  return value.isString() && !aText.empty();
}

bool
ReadPort(const QJsonObject& aObject, const char* aName, std::uint16_t& aPort)
{
  const QJsonValue value = aObject.value(QLatin1String(aName));
  if (value.isUndefined()) {
    return true;
  }
  const int port = value.toInt(-1);
  if (port < 0 || port > std::numeric_limits<std::uint16_t>::max()) {
    return false;
  }
  aPort = static_cast<std::uint16_t>(port);
  return true;
}

} // namespace

QJsonObject
ListedHostToJson(const ListedHost& aHost)
{
  return { { "region", QString::fromStdString(aHost.region) },
           { "domain", QString::fromStdString(aHost.domain) },
           { "address", QString::fromStdString(aHost.address) },
           { "relay_port", aHost.relayPort },
           { "control_port", aHost.controlPort },
           { "leaving", aHost.isLeaving } };
}

std::optional<ListedHost>
ListedHostFromJson(std::string_view aHost, const QJsonObject& aObject)
{
  ListedHost host;
  host.host = aHost;
  const QJsonValue leaving = aObject.value("leaving");
  if (!ReadText(aObject, "region", host.region) ||
      !ReadText(aObject, "domain", host.domain) ||
      !ReadText(aObject, "address", host.address) ||
      !ReadPort(aObject, "relay_port", host.relayPort) ||
      !ReadPort(aObject, "control_port", host.controlPort) ||
      (!leaving.isUndefined() && !leaving.isBool())) {
    return {};
  }
  host.isLeaving = leaving.toBool();
  return host;
}

} // namespace filbertbeam
