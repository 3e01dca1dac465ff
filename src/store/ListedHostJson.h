#pragma once

#include "store/HostList.h"

#include <QJsonObject>

namespace filbertbeam {

// A host as the platform's API writes it.
QJsonObject
ListedHostToJson(const ListedHost& aHost);

// Null when a field is missing or of the wrong type. "leaving" and the ports
// may be left out.
std::optional<ListedHost>
ListedHostFromJson(const QJsonObject& aObject);

} // namespace filbertbeam
