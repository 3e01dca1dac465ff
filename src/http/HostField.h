#pragma once

#include <string_view>

namespace filbertbeam {

// The host of a Host field without its port.
std::string_view
HostWithoutPort(std::string_view aHostField);

} // namespace filbertbeam
