#pragma once

#include "base/Clock.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// Which backend servers this host could not reach lately. The pooled belief in
// a server says nothing about the path from one host to it.
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
