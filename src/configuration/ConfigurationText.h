#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace filbertbeam {

// Validation of the texts in a configuration, and their display in messages.

inline constexpr std::size_t kMaxNameLength = 128;
inline constexpr std::size_t kMaxPathPrefixLength = 1024;

// True for a valid name. Names are used in keys of the store, header fields and
// command lines.
bool
IsName(std::string_view aText);

// True for a token of HTTP (RFC 9110), which every method is.
bool
IsToken(std::string_view aText);

bool
IsPathPrefix(std::string_view aText);

// True for a host name or an IPv6 address in brackets, without port.
bool
IsRouteHost(std::string_view aText);

// True for an IP address that a single server can have; an IPv4 address has to
// be in canonical form.
bool
IsUnicastAddress(const std::string& aText);

// Returns the start of a text from the input for use in messages. Control
// characters are escaped, so that a terminal does not interpret them.
std::string
EscapeForDisplay(std::string_view aText);

} // namespace filbertbeam
