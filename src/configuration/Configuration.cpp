#include "configuration/Configuration.h"

#include "base/AsciiText.h"
#include "configuration/ShardFloors.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace filbertbeam {

namespace {

// Orders prefixes from long to short, so that a lookup can stop at the first
// match, and equally long ones by text, so that they can be searched by
// bisection.
bool
IsBefore(std::string_view aLeft, std::string_view aRight)
{
  return std::tuple(aRight.size(), aLeft) < std::tuple(aLeft.size(), aRight);
}

const Route*
FindExactPrefix(const std::vector<const Route*>& aRoutes,
                std::string_view aPrefix)
{
  const auto found =
    std::lower_bound(aRoutes.begin(),
                     aRoutes.end(),
                     aPrefix,
                     [](const Route* aRoute, std::string_view aText) {
                       return IsBefore(aRoute->pathPrefix, aText);
                     });
  if (found == aRoutes.end() || (*found)->pathPrefix != aPrefix) {
    return nullptr;
  }
  return *found;
}

// Tries the prefixes of the path that end at a segment boundary, longest
// first. The cost depends on the number of segments, not on the number of
// routes: a host may have all 17,000 of them.
const Route*
FindLongestPrefix(const std::vector<const Route*>& aRoutes,
                  std::string_view aPath)
{
  if (aRoutes.empty()) {
    return nullptr;
  }
  const std::size_t longest = aRoutes.front()->pathPrefix.size();
  for (std::size_t length = std::min(aPath.size(), longest); length > 0;
       --length) {
    const bool endsAtBoundary = length == aPath.size() ||
                                aPath[length] == '/' ||
                                aPath[length - 1] == '/';
    if (!endsAtBoundary) {
      continue;
    }
    if (const Route* route =
          FindExactPrefix(aRoutes, aPath.substr(0, length))) {
      return route;
    }
  }
  return nullptr;
}

// Fills the shards of each domain in the order of the file. The shard of a
// backend server thus depends only on the servers before it, so that adding or
// removing one at the end moves no other server to another owner. All shards of
// a domain but the last are full; balancing their sizes would move backend
// servers whenever the number of shards changes.
std::vector<Shard>
MakeShards(const Service& aService)
{
  std::vector<Shard> shards;
  struct DomainState
  {
    std::size_t count = 0;
    std::size_t openShard = 0;
  };
  std::unordered_map<std::string_view, DomainState> domains;
  for (const BackendServer& backendServer : aService.backendServers) {
    DomainState& state = domains[backendServer.domain];
    if (state.count % kMaxBackendServersPerShard == 0) {
      state.openShard = shards.size();
      Shard shard;
      shard.key = fmt::format("{}/{}/{}",
                              aService.name,
                              backendServer.domain,
                              state.count / kMaxBackendServersPerShard);
      shard.service = aService.name;
      shard.region = backendServer.region;
      shard.domain = backendServer.domain;
      shards.push_back(std::move(shard));
    }
    shards[state.openShard].backendServers.push_back(&backendServer);
    ++state.count;
  }
  AssignShardFloors(aService.floor, shards);
  return shards;
}

template<typename Value>
const Value*
FindIn(const std::unordered_map<std::string_view, const Value*>& aMap,
       std::string_view aKey)
{
  const auto found = aMap.find(aKey);
  return found == aMap.end() ? nullptr : found->second;
}

} // namespace

std::shared_ptr<const Configuration>
Configuration::Create(std::uint64_t aRevision, Content aContent)
{
  return std::shared_ptr<const Configuration>(
    new Configuration(aRevision, std::move(aContent)));
}

Configuration::Configuration(std::uint64_t aRevision, Content aContent)
  : revision_(aRevision)
  , content_(std::move(aContent))
{
  contractsByCustomer_.reserve(content_.contracts.size());
  contractsByKey_.reserve(content_.contracts.size());
  for (const Contract& contract : content_.contracts) {
    contractsByCustomer_.emplace(contract.customer, &contract);
    for (const std::string& key : contract.keySha256) {
      contractsByKey_.emplace(key, &contract);
    }
  }
  for (const Service& service : content_.services) {
    if (!servicesByName_.emplace(service.name, &service).second) {
      continue;
    }
    const std::vector<Shard>& shards =
      shardsByService_.emplace(service.name, MakeShards(service)).first->second;
    for (const Shard& shard : shards) {
      shardsByKey_.emplace(shard.key, &shard);
    }
  }
  for (const Route& route : content_.routes) {
    routesByHost_[route.host].push_back(&route);
  }
  for (auto& [host, routes] : routesByHost_) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const Route* aLeft, const Route* aRight) {
                       return IsBefore(aLeft->pathPrefix, aRight->pathPrefix);
                     });
  }
}

const Contract*
Configuration::FindContractByKeySha256(std::string_view aKeySha256) const
{
  return FindIn(contractsByKey_, aKeySha256);
}

const Contract*
Configuration::FindContract(std::string_view aCustomer) const
{
  return FindIn(contractsByCustomer_, aCustomer);
}

const Service*
Configuration::FindService(std::string_view aName) const
{
  return FindIn(servicesByName_, aName);
}

const Route*
Configuration::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  // Host names are case-insensitive; the reader stores them in lower case.
  if (std::any_of(aHost.begin(), aHost.end(), IsUpperCaseLetter)) {
    return FindRoute(LowerCase(aHost), aPath);
  }
  const auto findForHost = [&](std::string_view aRouteHost) -> const Route* {
    const auto found = routesByHost_.find(aRouteHost);
    return found == routesByHost_.end()
             ? nullptr
             : FindLongestPrefix(found->second, aPath);
  };
  const Route* anyHostRoute = findForHost({});
  if (aHost.empty()) {
    return anyHostRoute;
  }
  const Route* hostRoute = findForHost(aHost);
  if (!hostRoute || !anyHostRoute) {
    return hostRoute ? hostRoute : anyHostRoute;
  }
  return anyHostRoute->pathPrefix.size() > hostRoute->pathPrefix.size()
           ? anyHostRoute
           : hostRoute;
}

std::span<const Shard>
Configuration::ShardsOf(std::string_view aService) const
{
  const auto found = shardsByService_.find(aService);
  if (found == shardsByService_.end()) {
    return {};
  }
  return found->second;
}

const Shard*
Configuration::FindShard(std::string_view aKey) const
{
  return FindIn(shardsByKey_, aKey);
}

} // namespace filbertbeam
