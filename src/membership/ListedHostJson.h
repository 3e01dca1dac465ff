#pragma once

#include "membership/ListedHost.h"

#include <QJsonObject>

#include <optional>
#include <string_view>

namespace filbertbeam {

// Returns the content of a host's entry. The host's name is left out, because
// it is the key of the entry.
QJsonObject
ListedHostToJson(const ListedHost& aHost);

// Returns nothing when a field is missing or has the wrong type. "leaving" and
// the ports are optional.
std::optional<ListedHost>
ListedHostFromJson(std::string_view aHost, const QJsonObject& aObject);

} // namespace filbertbeam
