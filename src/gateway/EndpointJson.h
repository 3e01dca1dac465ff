#pragma once

#include "http/HttpMessage.h"

#include <QJsonObject>

#include <optional>

namespace filbertbeam {

// How hosts write the address of a host for each other.
QJsonObject
EndpointToJson(const Endpoint& aEndpoint);

// Nothing when the object holds no IP address and port.
std::optional<Endpoint>
EndpointFromJson(const QJsonObject& aObject);

} // namespace filbertbeam
