#include "gateway/EndpointJson.h"

#include <QHostAddress>

namespace filbertbeam {

namespace {

constexpr const char* kAddress = "address";
constexpr const char* kPort = "port";

} // namespace

QJsonObject
EndpointToJson(const Endpoint& aEndpoint)
{
  return { { kAddress, QString::fromStdString(aEndpoint.address) },
           { kPort, aEndpoint.port } };
}

std::optional<Endpoint>
EndpointFromJson(const QJsonObject& aObject)
{
  const QString address = aObject.value(kAddress).toString();
  const int port = aObject.value(kPort).toInt();
  // Any other text would be resolved as a host name.
  if (QHostAddress(address).isNull() || port <= 0 || port > 0xFFFF) {
    return std::nullopt;
  }
  return Endpoint{ address.toStdString(), static_cast<std::uint16_t>(port) };
}

} // namespace filbertbeam
