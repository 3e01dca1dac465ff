#pragma once

#include "base/Findings.h"
#include "base/Log.h"
#include "http/HttpMessage.h"

#include <optional>
#include <string>
#include <vector>

namespace filbertbeam {

// Settings that a daemon reads when it starts. None of them is a limit.
struct DaemonSettings
{
  std::string host;
  std::string region;
  std::string domain;
  Endpoint caller;
  Endpoint relay;
  Endpoint control;
  Endpoint admin;
  std::vector<Endpoint> platform;
  std::string fleetSecret;
  std::string operatorToken;
  LogLevel logLevel = LogLevel::Info;

  // Reads flags, and FILBERTBEAM_... environment variables for flags that are
  // not given. Removes the flags from the arguments. Returns nothing when
  // aFindings contains an error.
  static std::optional<DaemonSettings> Create(int* argc,
                                              char*** argv,
                                              Findings& aFindings);
};

} // namespace filbertbeam
