#pragma once

#include "http/HttpMessage.h"

#include <QJsonObject>

#include <optional>

namespace filbertbeam {

// Encodes the address of a host for other hosts.
QJsonObject
EndpointToJson(const Endpoint& aEndpoint);

// Returns nullopt when the object does not contain a valid IP address and port.
std::optional<Endpoint>
EndpointFromJson(const QJsonObject& aObject);

} // namespace filbertbeam
