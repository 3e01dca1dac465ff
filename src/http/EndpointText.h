#pragma once

#include "http/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// Parses a port number. Returns nullopt if the text is not a whole number in
// the range of ports.
std::optional<std::uint16_t>
ParsePort(std::string_view aText);

// Parses "address:port" with an IP address; an IPv6 address is enclosed in
// brackets. Returns nullopt and sets aReason if the text has another form.
std::optional<Endpoint>
ParseEndpoint(std::string_view aText, std::string& aReason);

// Returns the text that ParseEndpoint reads.
std::string
FormatEndpoint(const Endpoint& aEndpoint);

} // namespace filbertbeam
