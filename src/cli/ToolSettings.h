#pragma once

#include "base/Findings.h"
#include "cli/CliEnvironment.h"
#include "http/HttpMessage.h"

#include <optional>
#include <string>
#include <vector>

namespace filbertbeam {

// Settings of the tool, read from the command line and the environment.
struct ToolSettings
{
  // Subcommand and its arguments.
  std::vector<std::string> arguments;
  CliOptions options;
  std::vector<Endpoint> platform;
  // Addresses of admin endpoints, each "IP:PORT".
  std::vector<std::string> admin;
  std::string operatorToken;

  // Reads flags, and FILBERTBEAM_... environment variables for flags that are
  // not given. Returns nothing when aFindings contains an error. An unknown
  // flag or a malformed value ends the process with exit code 2.
  static std::optional<ToolSettings> Create(int* argc,
                                            char*** argv,
                                            Findings& aFindings);
};

} // namespace filbertbeam
