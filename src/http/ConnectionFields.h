#pragma once

#include "http/HttpFields.h"

#include <string_view>
#include <vector>

namespace filbertbeam {

// Compares ASCII letters without case.
bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

// True for a character that may stand in a method or a field name (RFC 9110,
// 5.6.2).
bool
IsTokenCharacter(char aCharacter);

// The trimmed, non-empty members of a comma-separated list.
std::vector<std::string_view>
SplitList(std::string_view aValue);

// True for fields that frame a message or belong to one connection; see
// HttpRequestHead.
bool
IsConnectionField(std::string_view aName);

// Removes the connection fields and those that a Connection field names. Host
// stays, since a request without it has no target.
void
RemoveConnectionFields(HttpFields& aFields);

} // namespace filbertbeam
