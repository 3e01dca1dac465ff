#include "routing/RoutingTable.h"

#include "base/AsciiText.h"
#include "http/HostField.h"

#include <fmt/format.h>

#include <algorithm>

namespace filbertbeam {

namespace {

// Hosts are compared without their ports and ignoring case.
std::string
NormalizeHost(std::string_view aHost)
{
  return LowerCase(HostWithoutPort(aHost));
}

// Returns what is wrong with the route; empty if it is valid.
std::string
FindError(const Route& aRoute)
{
  if (aRoute.host.empty()) {
    return "has no host";
  }
  if (!aRoute.pathPrefix.starts_with('/') ||
      !aRoute.pathPrefix.ends_with('/')) {
    return "has a path prefix that does not begin and end with a slash";
  }
  if (aRoute.timeout <= Duration::zero()) {
    return "has no timeout";
  }
  if (aRoute.maxAttempts < 1) {
    return "allows no attempts";
  }
  if (aRoute.targets.empty()) {
    return "names no service";
  }
  const bool areTargetsValid =
    std::ranges::all_of(aRoute.targets, [](const RouteTarget& aTarget) {
      return !aTarget.service.empty() && aTarget.weight >= 0;
    });
  const bool hasPositiveWeight =
    std::ranges::any_of(aRoute.targets, [](const RouteTarget& aTarget) {
      return aTarget.weight > 0;
    });
  return areTargetsValid && hasPositiveWeight
           ? ""
           : "has an unnamed service, a negative weight or no positive weight";
}

} // namespace

std::shared_ptr<const RoutingTable>
RoutingTable::Create(std::uint64_t aVersion,
                     std::vector<Route> aRoutes,
                     const CallerLimits& aLimits,
                     std::string& aReason,
                     std::shared_ptr<const ContractTable> aContracts)
{
  std::shared_ptr<RoutingTable> table(new RoutingTable);
  table->version_ = aVersion;
  table->limits_ = aLimits;
  table->routes_ = std::move(aRoutes);
  table->contracts_ = std::move(aContracts);
  for (std::size_t i = 0; i < table->routes_.size(); ++i) {
    Route& route = table->routes_[i];
    route.host = NormalizeHost(route.host);
    if (const std::string error = FindError(route); !error.empty()) {
      aReason = fmt::format("route {} {}", route.name, error);
      return nullptr;
    }
    if (!table->routeIndexes_.emplace(route.host + route.pathPrefix, i)
           .second) {
      aReason =
        fmt::format("two routes at host and path prefix {}{}: {} and another",
                    route.host,
                    route.pathPrefix,
                    route.name);
      return nullptr;
    }
  }
  return table;
}

const Route*
RoutingTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const std::string host = NormalizeHost(aHost);
  // Every path prefix ends with a slash, so only these lengths can match.
  std::size_t end = aPath.rfind('/');
  while (end != std::string_view::npos) {
    const auto found =
      routeIndexes_.find(host + std::string(aPath.substr(0, end + 1)));
    if (found != routeIndexes_.end()) {
      return &routes_[found->second];
    }
    if (end == 0) {
      return nullptr;
    }
    end = aPath.rfind('/', end - 1);
  }
  return nullptr;
}

} // namespace filbertbeam
