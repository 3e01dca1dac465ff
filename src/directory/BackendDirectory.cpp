#include "directory/BackendDirectory.h"

#include "base/Digest.h"

#include <bit>

namespace filbertbeam {

namespace {

std::uint32_t
ShardIndex(std::string_view aServer, std::uint32_t aCount)
{
  return static_cast<std::uint32_t>(StableHash(aServer) % aCount);
}

} // namespace

BackendDirectory::BackendDirectory(std::uint64_t aRevision,
                                   std::vector<BackendServerRecord> aServers)
  : revision_(aRevision)
  , servers_(std::move(aServers))
{
  for (const BackendServerRecord& server : servers_) {
    byId_.emplace(server.id, &server);
    byService_[server.service].servers.push_back(&server);
  }
  for (auto& [name, service] : byService_) {
    DivideIntoShards(service);
  }
}

void
BackendDirectory::DivideIntoShards(Service& aService)
{
  const std::size_t parts =
    (aService.servers.size() + kServersPerShard - 1) / kServersPerShard;
  const auto count = static_cast<std::uint32_t>(std::bit_ceil(parts));
  aService.shards.resize(count);
  aService.slots.resize(count);
  for (const BackendServerRecord* server : aService.servers) {
    const std::uint32_t index = ShardIndex(server->id, count);
    aService.shards[index].push_back(server);
    aService.slots[index] += server->isDraining ? 0 : server->slots;
  }
}

const BackendDirectory::Service*
BackendDirectory::FindService(std::string_view aService) const
{
  const auto service = byService_.find(aService);
  return service == byService_.end() ? nullptr : &service->second;
}

const BackendServerRecord*
BackendDirectory::Find(std::string_view aId) const
{
  const auto server = byId_.find(aId);
  return server == byId_.end() ? nullptr : server->second;
}

const std::vector<const BackendServerRecord*>&
BackendDirectory::ServersOfService(std::string_view aService) const
{
  const Service* service = FindService(aService);
  return service == nullptr ? noServers_ : service->servers;
}

std::uint32_t
BackendDirectory::ShardCount(std::string_view aService) const
{
  const Service* service = FindService(aService);
  return service == nullptr
           ? 1
           : static_cast<std::uint32_t>(service->shards.size());
}

Shard
BackendDirectory::ShardOf(std::string_view aService,
                          std::string_view aServer) const
{
  const std::uint32_t count = ShardCount(aService);
  return { ShardIndex(aServer, count), count };
}

std::span<const int>
BackendDirectory::SlotsOfShards(std::string_view aService) const
{
  const Service* service = FindService(aService);
  return service == nullptr ? std::span<const int>() : service->slots;
}

const std::vector<const BackendServerRecord*>&
BackendDirectory::ServersOfShard(std::string_view aService, Shard aShard) const
{
  const Service* service = FindService(aService);
  if (service == nullptr) {
    return noServers_;
  }
  return aShard.count == service->shards.size() &&
             aShard.index < service->shards.size()
           ? service->shards[aShard.index]
           : service->servers;
}

std::vector<std::string_view>
BackendDirectory::Services() const
{
  std::vector<std::string_view> names;
  names.reserve(byService_.size());
  for (const auto& [name, service] : byService_) {
    names.push_back(name);
  }
  return names;
}

} // namespace filbertbeam
