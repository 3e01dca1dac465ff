#pragma once

#include "directory/BackendServerRecord.h"
#include "directory/Shard.h"

#include <memory>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// A snapshot of the known backend servers. Immutable; shared by all threads.
class BackendDirectory
{
public:
  BackendDirectory(std::uint64_t aRevision,
                   std::vector<BackendServerRecord> aServers);

  // Increases with every change that is read from the catalog.
  std::uint64_t Revision() const { return revision_; }
  const std::vector<BackendServerRecord>& Servers() const { return servers_; }

  // Returns null if there is no such server.
  const BackendServerRecord* Find(std::string_view aId) const;
  // Returns the servers of aService, including draining ones.
  const std::vector<const BackendServerRecord*>& ServersOfService(
    std::string_view aService) const;

  // Returns the names of the services that have a server.
  std::vector<std::string_view> Services() const;

  // A service with more servers than this is divided into several shards.
  static constexpr std::size_t kServersPerShard = 32;

  // Returns at least 1, also for an unknown service.
  std::uint32_t ShardCount(std::string_view aService) const;
  // Returns the shard of aServer, which need not be in this directory.
  Shard ShardOf(std::string_view aService, std::string_view aServer) const;
  // Returns the total slots of each shard by its index, without those of
  // draining servers.
  std::span<const int> SlotsOfShards(std::string_view aService) const;
  // Returns the servers of aShard, or all servers of aService if this directory
  // divides the service differently.
  const std::vector<const BackendServerRecord*>& ServersOfShard(
    std::string_view aService,
    Shard aShard) const;

private:
  using Records = std::vector<const BackendServerRecord*>;

  struct Service
  {
    Records servers;
    std::vector<Records> shards;
    std::vector<int> slots;
  };

  const Service* FindService(std::string_view aService) const;
  static void DivideIntoShards(Service& aService);

  std::uint64_t revision_;
  std::vector<BackendServerRecord> servers_;
  std::unordered_map<std::string_view, const BackendServerRecord*> byId_;
  std::unordered_map<std::string_view, Service> byService_;
  Records noServers_;
};

} // namespace filbertbeam
