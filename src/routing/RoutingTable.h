#pragma once

#include "routing/Route.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// What a caller may send, and how long it may take.
struct CallerLimits
{
  std::size_t headBytes = 16 * 1024;
  std::uint64_t bodyBytes = 64ULL * 1024 * 1024;
  Duration headTimeout = std::chrono::seconds(10);
  Duration idleTimeout = std::chrono::seconds(60);
};

// One accepted version of the routes. Immutable; shared by all threads.
class RoutingTable
{
public:
  // Null, with a reason, when two routes stand at the same place or a route
  // cannot be served: a table is never in force in parts.
  static std::shared_ptr<const RoutingTable> Create(std::uint64_t aVersion,
                                                    std::vector<Route> aRoutes,
                                                    const CallerLimits& aLimits,
                                                    std::string& aReason);

  std::uint64_t Version() const { return version_; }
  const CallerLimits& Limits() const { return limits_; }
  const std::vector<Route>& Routes() const { return routes_; }

  // The route of aHost with the longest prefix of aPath, or null. aHost may
  // have a port and capitals; aPath has no query.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

private:
  RoutingTable() = default;

  std::uint64_t version_ = 0;
  CallerLimits limits_;
  std::vector<Route> routes_;
  // Host and prefix, joined, to the index of the route.
  std::unordered_map<std::string, std::size_t> routeIndexes_;
};

} // namespace filbertbeam
