#include "gateway/StatedAvailability.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Servers that replace the leaving ones may start at any time.
constexpr milliseconds kLeavingRetryAfter{ 150 };
// Callers return over this time, or over the time until a server is available
// divided by kReturnSpreadDivisor.
constexpr milliseconds kMinReturnSpread{ 100 };
constexpr int kReturnSpreadDivisor = 4;

} // namespace

bool
StatedAvailability::OnLeaving(const BackendServerRecord& aServer,
                              std::string_view aRequestId)
{
  if (std::exchange(StatementOf(aServer).isLeaving, true)) {
    return false;
  }
  LogEvent(LogLevel::Info,
           "backend_server_leaves",
           { { "server", aServer.id },
             { "service", aServer.service },
             { "request", aRequestId } });
  return true;
}

void
StatedAvailability::OnPause(const BackendServerRecord& aServer,
                            std::string_view aRequestId,
                            Duration aTime,
                            Instant aNow)
{
  Statement& statement = StatementOf(aServer);
  const bool wasPaused = statement.pausedUntil > aNow;
  // A later response may come from an earlier request.
  statement.pausedUntil = std::max(statement.pausedUntil, aNow + aTime);
  if (wasPaused) {
    return;
  }
  LogEvent(
    LogLevel::Info,
    "backend_server_paused",
    { { "server", aServer.id },
      { "service", aServer.service },
      { "request", aRequestId },
      { "ms", std::chrono::duration_cast<milliseconds>(aTime).count() } });
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

std::optional<Unavailability>
StatedAvailability::CheckAll(
  std::span<const BackendServerRecord* const> aServers,
  Random& aRandom,
  Instant aNow) const
{
  if (UnavailableServers(aServers, aNow).empty()) {
    return std::nullopt;
  }
  const auto first = FirstAvailable(aServers, aNow);
  if (!first) {
    return Unavailability{ "servers-leave", kLeavingRetryAfter };
  }
  if (*first <= aNow) {
    return std::nullopt;
  }
  const Duration delay = *first - aNow;
  const Duration spread =
    std::max<Duration>(kMinReturnSpread, delay / kReturnSpreadDivisor);
  return Unavailability{ "servers-paused",
                         delay + std::chrono::duration_cast<Duration>(
                                   spread * aRandom.Uniform()) };
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
