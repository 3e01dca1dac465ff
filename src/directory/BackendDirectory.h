#pragma once

#include "directory/BackendServerRecord.h"
#include "directory/Shard.h"

#include <memory>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// The backend servers that are known at one moment. Immutable; shared by all
// threads.
class BackendDirectory
{
public:
  BackendDirectory(std::uint64_t aRevision,
                   std::vector<BackendServerRecord> aServers);

  // Grows with every change that was read from the catalog.
  std::uint64_t Revision() const { return revision_; }
  const std::vector<BackendServerRecord>& Servers() const { return servers_; }

  // Null when there is no such server.
  const BackendServerRecord* Find(std::string_view aId) const;
  // Servers of aService, draining ones among them.
  const std::vector<const BackendServerRecord*>& ServersOfService(
    std::string_view aService) const;

  // Names of the services that have a server.
  std::vector<std::string_view> Services() const;

  // A service with more servers is divided among several owners.
  static constexpr std::size_t kServersPerShard = 32;

  // At least 1.
  std::uint32_t ShardCount(std::string_view aService) const;
  // The shard of aServer, which need not be known.
  Shard ShardOf(std::string_view aService, std::string_view aServer) const;
  // Slots of the servers of each shard that take work, in the order of shards.
  std::span<const int> SlotsOfShards(std::string_view aService) const;
  // The servers of aShard; all servers of its service where this directory
  // divides the service otherwise.
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
