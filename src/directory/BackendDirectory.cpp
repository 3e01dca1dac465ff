#include "directory/BackendDirectory.h"

namespace filbertbeam {

BackendDirectory::BackendDirectory(std::uint64_t aRevision,
                                   std::vector<BackendServerRecord> aServers)
  : revision_(aRevision)
  , servers_(std::move(aServers))
{
  for (const BackendServerRecord& server : servers_) {
    byId_.emplace(server.id, &server);
    byService_[server.service].push_back(&server);
  }
}

const BackendServerRecord*
BackendDirectory::Find(std::string_view aId) const
{
  const auto server = byId_.find(aId);
  return server == byId_.end() ? nullptr : server->second;
}

const std::vector<const BackendServerRecord*>&
BackendDirectory::OfService(std::string_view aService) const
{
  const auto servers = byService_.find(aService);
  return servers == byService_.end() ? none_ : servers->second;
}

std::vector<std::string_view>
BackendDirectory::Services() const
{
  std::vector<std::string_view> names;
  names.reserve(byService_.size());
  for (const auto& [name, servers] : byService_) {
    names.push_back(name);
  }
  return names;
}

} // namespace filbertbeam
