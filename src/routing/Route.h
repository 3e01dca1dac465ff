#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace filbertbeam {

// One of the services among which the requests of a route are split.
struct RouteTarget
{
  std::string service;
  // Relative to the weights of the other targets of the route; not negative. A
  // target with weight 0 gets no requests.
  double weight = 1;
};

// Settings for the requests to one host name and path prefix. In a deployment
// without named customers a route serves as the contract: every limit of a
// request is derived from it.
struct Route
{
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string pathPrefix;
  // Whether a request may run more than once. Decided by the operator, never by
  // the method of the request.
  bool isIdempotent = false;
  // Whether responses are large, so that traffic between failure domains
  // matters.
  bool hasLargeResponses = false;
  // The longest time that a request may wait for its final response.
  Duration timeout{};
  // A response within this time has its full value; a slower one is worth less.
  Duration latencyObjective{};
  // Whether callers need no key, even if the deployment has workspaces.
  bool isPublic = false;
  // 0 is the highest priority.
  int priority = 0;
  // Maximum number of backend servers to which one request may be sent.
  int maxAttempts = 1;
  std::vector<RouteTarget> targets;
};

} // namespace filbertbeam
