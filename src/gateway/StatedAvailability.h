#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "directory/BackendDirectory.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// Why a request is refused without asking for a server, and when its caller may
// return.
struct Unavailability
{
  std::string_view reason;
  Duration retryAfter{};
};

// What backend servers have stated in their responses to this host about
// further requests: that they leave, or that they want none for some time. It
// says nothing about other hosts, nor about the health of the server.
class StatedAvailability
{
public:
  // aServer leaves; it gets no request any more. aRequestId is that of the
  // request to which it responded. Returns true if that is new.
  bool OnLeaving(const BackendServerRecord& aServer,
                 std::string_view aRequestId);
  // aServer wants no request of this host for aTime from aNow on.
  void OnPause(const BackendServerRecord& aServer,
               std::string_view aRequestId,
               Duration aTime,
               Instant aNow);
  // Forgets what is stated about servers that have been replaced or are gone.
  void SetDirectory(const BackendDirectory& aDirectory);

  bool IsAvailable(const BackendServerRecord& aServer, Instant aNow) const;
  // Returns those of aServers that this host may not send to.
  std::vector<std::string> UnavailableServers(
    std::span<const BackendServerRecord* const> aServers,
    Instant aNow) const;
  // Returns nothing if one of aServers is available, or if none has stated
  // anything. The callers of refused requests return at different times.
  std::optional<Unavailability> CheckAll(
    std::span<const BackendServerRecord* const> aServers,
    Random& aRandom,
    Instant aNow) const;

private:
  struct Statement
  {
    // Identifies the run of the server.
    std::int64_t startedAt = 0;
    bool isLeaving = false;
    Instant pausedUntil;
  };

  // Returns when the first of aServers is available, which may be aNow; nothing
  // if none of them will be.
  std::optional<Instant> FirstAvailable(
    std::span<const BackendServerRecord* const> aServers,
    Instant aNow) const;
  const Statement* Find(const BackendServerRecord& aServer) const;
  Statement& StatementOf(const BackendServerRecord& aServer);

  // By the id of the server.
  std::unordered_map<std::string, Statement> statements_;
};

} // namespace filbertbeam
