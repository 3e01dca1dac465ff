#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace filbertbeam {

// One of the services among which the requests of a route are divided.
struct RouteTarget
{
  std::string service;
  // Relative to the weights of the other targets of the route; above 0.
  double weight = 1;
};

// What an operator grants the requests of one host name and path prefix. On a
// deployment without named customers a route is the contract: every limit of a
// request follows from it.
struct Route
{
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string pathPrefix;
  // The request may run more than once. Decided by the operator, never by the
  // method of the request.
  bool isIdempotent = false;
  // Responses are large, so the bytes between failure domains matter.
  bool hasLargeResponses = false;
  // The longest time that a request may wait for its final answer.
  Duration timeout{};
  // A response within this time is worth its full price.
  Duration latencyObjective{};
  // 0 is the most urgent.
  int priority = 0;
  // Backend servers to which one request may be sent at most.
  int maxAttempts = 1;
  std::vector<RouteTarget> targets;
};

} // namespace filbertbeam
