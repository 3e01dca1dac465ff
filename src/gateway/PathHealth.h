#pragma once

#include "base/Clock.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// Tracks the backend servers that this host could not reach recently. The
// health estimate that all hosts share says nothing about the network path from
// one host to a server.
class PathHealth
{
public:
  void OnUnreachable(const std::string& aServer, Instant aNow);
  void OnReached(const std::string& aServer);
  std::vector<std::string> AvoidedServers(Instant aNow);

private:
  struct Path
  {
    int failures = 0;
    Instant avoidUntil;
  };

  std::unordered_map<std::string, Path> failedPaths_;
};

} // namespace filbertbeam
