#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace filbertbeam {

// Which texts a configuration may hold, and how faulty ones are shown.

inline constexpr std::size_t kMaxNameLength = 128;
inline constexpr std::size_t kMaxPathPrefixLength = 1024;

// Names stand in keys of the store, header fields and command lines.
bool
IsName(std::string_view aText);

// A method is a token of HTTP (RFC 9110).
bool
IsToken(std::string_view aText);

bool
IsPathPrefix(std::string_view aText);

// A name or an IPv6 address in brackets, without port.
bool
IsRouteHost(std::string_view aText);

// True for the canonical text of an address that one server can have.
bool
IsUnicastAddress(const std::string& aText);

// The start of a text of the input for messages; a terminal must not interpret
// its control characters.
std::string
EscapeForDisplay(std::string_view aText);

} // namespace filbertbeam
