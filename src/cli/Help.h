#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// Help of one subcommand with examples, or of the whole tool for "". Empty for
// an unknown subcommand.
std::string
HelpText(std::string_view aCommand);

std::vector<std::string_view>
CommandNames();

} // namespace filbertbeam
