#pragma once

#include "cli/CliEnvironment.h"

#include <span>
#include <string>

namespace filbertbeam {

// Runs one subcommand with its arguments, without flags, and returns the exit
// code of the tool.
int
RunCommand(std::span<const std::string> aArguments,
           const CliOptions& aOptions,
           CliEnvironment& aEnvironment);

} // namespace filbertbeam
