#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// Returns the help of one subcommand with examples, or that of the whole tool
// when aCommand is empty. Returns an empty text for an unknown subcommand.
std::string
HelpText(std::string_view aCommand);

std::vector<std::string_view>
CommandNames();

} // namespace filbertbeam
