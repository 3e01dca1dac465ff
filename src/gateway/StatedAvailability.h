#pragma once

#include "base/Clock.h"
#include "directory/BackendDirectory.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// What backend servers have stated in their responses to this host about
// further requests: that they leave, or that they want none for some time. It
// says nothing about other hosts, nor about the health of the server.
class StatedAvailability
{
public:
  // aServer leaves; it gets no request any more. Returns true if that is new.
  bool OnLeaving(const BackendServerRecord& aServer);
  // aServer wants no request of this host before aUntil. Returns true if it
  // wanted none before aNow either.
  bool OnPause(const BackendServerRecord& aServer,
               Instant aUntil,
               Instant aNow);
  // Forgets what is stated about servers that have been replaced or are gone.
  void SetDirectory(const BackendDirectory& aDirectory);

  bool IsAvailable(const BackendServerRecord& aServer, Instant aNow) const;
  // Returns those of aServers that this host may not send to.
  std::vector<std::string> UnavailableServers(
    std::span<const BackendServerRecord* const> aServers,
    Instant aNow) const;
  // Returns when the first of aServers is available, which may be aNow; nothing
  // if none of them will be.
  std::optional<Instant> FirstAvailable(
    std::span<const BackendServerRecord* const> aServers,
    Instant aNow) const;

private:
  struct Statement
  {
    // Identifies the run of the server.
    std::int64_t startedAt = 0;
    bool isLeaving = false;
    Instant pausedUntil;
  };

  const Statement* Find(const BackendServerRecord& aServer) const;
  Statement& StatementOf(const BackendServerRecord& aServer);

  // By the id of the server.
  std::unordered_map<std::string, Statement> statements_;
};

} // namespace filbertbeam
