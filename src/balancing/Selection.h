#pragma once

#include "base/Clock.h"
#include "directory/Shard.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertbeam {

enum class AttemptPurpose : std::uint8_t
{
  First,
  // In place of an attempt that never left its host.
  Replacement,
  // The last attempt failed, or the server did not run it.
  Retry,
  // The first attempt takes long; both go on.
  Hedge,
};

// True for attempts beyond the first of a request that its server may see.
constexpr bool
IsExtraAttempt(AttemptPurpose aPurpose)
{
  return aPurpose == AttemptPurpose::Retry || aPurpose == AttemptPurpose::Hedge;
}

// A request for a backend server for one attempt.
struct SelectionRequest
{
  std::string service;
  // The servers to choose from.
  Shard shard;
  // Requests of one route take similar times.
  std::string route;
  AttemptPurpose purpose = AttemptPurpose::First;
  bool isIdempotent = false;
  bool hasLargeResponses = false;
  Duration latencyObjective{};
  // Time left until the request's final answer is due.
  Duration remaining{};
  // Of the host that will send the attempt.
  std::string host;
  std::string domain;
  // Backend servers that must not be chosen.
  std::vector<std::string> excluded;
  // Servers that the asking host could not reach lately; chosen only when the
  // others are worse.
  std::vector<std::string> avoided;
};

struct Selection
{
  // Names the attempt in the report on its result.
  std::uint64_t ticket = 0;
  std::string backendServer;
  // An idempotent request that is not answered by then may be sent to a second
  // server.
  Duration hedgeAfter{};
  // The server has answered a request lately, so an idle connection to it is
  // likely to work.
  bool hasRespondedRecently = false;
};

struct SelectionResult
{
  std::optional<Selection> selection;
  // Without a selection: why, and when to ask again.
  std::string reason;
  Duration retryAfter{};
};

} // namespace filbertbeam
