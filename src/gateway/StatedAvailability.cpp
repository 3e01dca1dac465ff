#include "gateway/StatedAvailability.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

bool
StatedAvailability::OnLeaving(const BackendServerRecord& aServer)
{
  return !std::exchange(StatementOf(aServer).isLeaving, true);
}

bool
StatedAvailability::OnPause(const BackendServerRecord& aServer,
                            Instant aUntil,
                            Instant aNow)
{
  Statement& statement = StatementOf(aServer);
  const bool wasAvailable = statement.pausedUntil <= aNow;
  // A later response may come from an earlier request.
  statement.pausedUntil = std::max(statement.pausedUntil, aUntil);
  return wasAvailable && aUntil > aNow;
}

void
StatedAvailability::SetDirectory(const BackendDirectory& aDirectory)
{
  std::erase_if(statements_, [&aDirectory](const auto& aItem) {
    const BackendServerRecord* server = aDirectory.Find(aItem.first);
    return server == nullptr || server->startedAt != aItem.second.startedAt;
  });
}

bool
StatedAvailability::IsAvailable(const BackendServerRecord& aServer,
                                Instant aNow) const
{
  const Statement* statement = Find(aServer);
  return statement == nullptr ||
         (!statement->isLeaving && statement->pausedUntil <= aNow);
}

std::vector<std::string>
StatedAvailability::UnavailableServers(
  std::span<const BackendServerRecord* const> aServers,
  Instant aNow) const
{
  std::vector<std::string> servers;
  if (statements_.empty()) {
    return servers;
  }
  for (const BackendServerRecord* server : aServers) {
    if (!IsAvailable(*server, aNow)) {
      servers.push_back(server->id);
    }
  }
  return servers;
}

std::optional<Instant>
StatedAvailability::FirstAvailable(
  std::span<const BackendServerRecord* const> aServers,
  Instant aNow) const
{
  std::optional<Instant> first;
  for (const BackendServerRecord* server : aServers) {
    if (server->isDraining) {
      continue;
    }
    const Statement* statement = Find(*server);
    if (statement == nullptr) {
      return aNow;
    }
    if (!statement->isLeaving) {
      first = std::min(first.value_or(Instant::max()),
                       std::max(statement->pausedUntil, aNow));
    }
  }
  return first;
}

const StatedAvailability::Statement*
StatedAvailability::Find(const BackendServerRecord& aServer) const
{
  const auto found = statements_.find(aServer.id);
  return found != statements_.end() &&
             found->second.startedAt == aServer.startedAt
           ? &found->second
           : nullptr;
}

StatedAvailability::Statement&
StatedAvailability::StatementOf(const BackendServerRecord& aServer)
{
  Statement& statement = statements_[aServer.id];
  if (statement.startedAt != aServer.startedAt) {
    statement = {};
    statement.startedAt = aServer.startedAt;
  }
  return statement;
}

} // namespace filbertbeam
