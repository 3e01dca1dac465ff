#pragma once

#include <string_view>

namespace filbertbeam {

// Returns the host of a Host field value without the port.
std::string_view
HostWithoutPort(std::string_view aHostField);

} // namespace filbertbeam
