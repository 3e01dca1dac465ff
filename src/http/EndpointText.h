#pragma once

#include "http/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// Nothing for what is no whole number that a port can have.
std::optional<std::uint16_t>
ParsePort(std::string_view aText);

// "address:port" with an IP address; brackets around an IPv6 address. Fills
// aReason where the text is something else.
std::optional<Endpoint>
ParseEndpoint(std::string_view aText, std::string& aReason);

} // namespace filbertbeam
