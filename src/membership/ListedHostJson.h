#pragma once

#include "membership/ListedHost.h"

#include <QJsonObject>

#include <optional>
#include <string_view>

namespace filbertbeam {

// A host's entry without its name, which is the name of the entry.
QJsonObject
ListedHostToJson(const ListedHost& aHost);

// Null when a field is missing or of the wrong type. "leaving" and the ports
// may be left out.
std::optional<ListedHost>
ListedHostFromJson(std::string_view aHost, const QJsonObject& aObject);

} // namespace filbertbeam
