#pragma once

#include "directory/BackendServerRecord.h"

#include <memory>
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
  const std::vector<const BackendServerRecord*>& OfService(
    std::string_view aService) const;

  // Names of the services that have a server.
  std::vector<std::string_view> Services() const;

private:
  std::uint64_t revision_;
  std::vector<BackendServerRecord> servers_;
  std::unordered_map<std::string_view, const BackendServerRecord*> byId_;
  std::unordered_map<std::string_view, std::vector<const BackendServerRecord*>>
    byService_;
  std::vector<const BackendServerRecord*> none_;
};

} // namespace filbertbeam
