#pragma once

#include <string>
#include <vector>

namespace filbertbeam {

// What one customer, a workspace of the operator, is promised. The only source
// of its limits.
struct Contract
{
  // Name of the workspace.
  std::string customer;
  // SHA-256 of each API key, 64 lower-case hexadecimal digits.
  std::vector<std::string> keySha256;
  // Services that the customer may use; on the platform, where every workspace
  // may use every route, empty.
  std::vector<std::string> services;
  // The promised request rate, for all hosts together, from which every limit
  // is derived. On the platform, 0 means that the rate is not limited.
  double requestsPerSecond = 0;
  // Requests that may arrive at once in addition to the rate.
  double burst = 0;
  // 0 is the highest priority; goes before that of the route. Negative if the
  // contract states none.
  int priority = -1;

  bool operator==(const Contract&) const = default;
};

} // namespace filbertbeam
