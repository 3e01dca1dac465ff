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
  // Replaces an attempt that was never sent by its host.
  Replacement,
  // Follows an attempt that failed or that the server did not run.
  Retry,
  // Runs in parallel with a first attempt that takes long.
  Hedge,
};

// True for attempts beyond the first of a request that reach a server.
constexpr bool
IsExtraAttempt(AttemptPurpose aPurpose)
{
  return aPurpose == AttemptPurpose::Retry || aPurpose == AttemptPurpose::Hedge;
}

// Asks for a backend server for one attempt of a request.
struct SelectionRequest
{
  std::string service;
  // The shard of the service whose servers are considered first.
  Shard shard;
  // Requests of one route have similar latencies.
  std::string route;
  AttemptPurpose purpose = AttemptPurpose::First;
  bool isIdempotent = false;
  bool hasLargeResponses = false;
  // 0 is the highest priority.
  int priority = 0;
  Duration latencyObjective{};
  // Time left until the final response to the request is due.
  Duration remaining{};
  // Name and failure domain of the host that will send the attempt.
  std::string host;
  std::string domain;
  // Backend servers that must not be selected.
  std::vector<std::string> excluded;
  // Backend servers that the requesting host recently failed to reach; selected
  // only if the others are worse.
  std::vector<std::string> avoided;
};

struct Selection
{
  // Identifies the attempt in the report of its result.
  std::uint64_t ticket = 0;
  std::string backendServer;
  // An idempotent request without a response after this time may also be sent
  // to a second server.
  Duration hedgeAfter{};
  // The server has responded to a request recently, so an idle connection to it
  // is likely to work.
  bool hasRespondedRecently = false;
};

struct SelectionResult
{
  std::optional<Selection> selection;
  // If there is no selection: the reason, and the time after which to retry.
  std::string reason;
  Duration retryAfter{};
};

} // namespace filbertbeam
