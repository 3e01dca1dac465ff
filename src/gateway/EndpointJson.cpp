#include "gateway/EndpointJson.h"

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
  const std::string address = aObject.value(kAddress).toString().toStdString();
  const int port = aObject.value(kPort).toInt();
  if (address.empty() || port <= 0 || port > 0xFFFF) {
    return std::nullopt;
  }
  return Endpoint{ address, static_cast<std::uint16_t>(port) };
}

} // namespace filbertbeam
