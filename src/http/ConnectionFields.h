#pragma once

#include "http/HttpFields.h"

#include <string_view>
#include <vector>

namespace filbertbeam {

// Compares two strings without regard to the case of ASCII letters.
bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

// True if the character is allowed in a method or a field name (RFC 9110,
// 5.6.2).
bool
IsTokenCharacter(char aCharacter);

// Returns the trimmed, non-empty members of a comma-separated list.
std::vector<std::string_view>
SplitList(std::string_view aValue);

// True for fields that frame a message or apply to one connection only
// (hop-by-hop fields); HttpRequestHead lists them.
bool
IsConnectionField(std::string_view aName);

// Removes the connection fields and the fields that Connection lists. Host is
// kept even if it is listed, since a request without it has no target.
void
RemoveConnectionFields(HttpFields& aFields);

} // namespace filbertbeam
