#pragma once

#include "contracts/ContractTable.h"
#include "routing/Route.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// Limits on the size and timing of a caller's requests.
struct CallerLimits
{
  std::size_t headBytes = 16 * 1024;
  std::uint64_t bodyBytes = 64ULL * 1024 * 1024;
  Duration headTimeout = std::chrono::seconds(10);
  Duration idleTimeout = std::chrono::seconds(60);
};

// An accepted version of the routes. Immutable; shared by all threads.
class RoutingTable
{
public:
  // Returns null and sets aReason if two routes have the same host and path
  // prefix or a route is invalid, so that a table never takes effect partially.
  // aContracts is null in a deployment without workspaces.
  static std::shared_ptr<const RoutingTable> Create(
    std::uint64_t aVersion,
    std::vector<Route> aRoutes,
    const CallerLimits& aLimits,
    std::string& aReason,
    std::shared_ptr<const ContractTable> aContracts = nullptr);

  std::uint64_t Version() const { return version_; }
  const CallerLimits& Limits() const { return limits_; }
  const std::vector<Route>& Routes() const { return routes_; }
  // Null if the deployment has no workspaces: then callers need no key.
  const ContractTable* Contracts() const { return contracts_.get(); }

  // Returns the route of aHost whose path prefix is the longest that matches
  // aPath, or null. aHost may have a port and capitals; aPath must not have a
  // query.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

private:
  RoutingTable() = default;

  std::uint64_t version_ = 0;
  CallerLimits limits_;
  std::vector<Route> routes_;
  std::shared_ptr<const ContractTable> contracts_;
  // Indexes in routes_ by host followed by path prefix.
  std::unordered_map<std::string, std::size_t> routeIndexes_;
};

} // namespace filbertbeam
