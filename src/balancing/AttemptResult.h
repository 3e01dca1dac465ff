#pragma once

#include <cstdint>

namespace filbertbeam {

// Result of one attempt at a backend server, classified by what it indicates
// about the server.
enum class AttemptResult : std::uint8_t
{
  // A complete response that does not report a failure of the server.
  Responded,
  // The server responded with a failure of its own.
  Failed,
  // The server states that it did not run the request, usually because it has
  // no capacity left.
  NotExecuted,
  // The address now belongs to another server.
  WrongServer,
  // No connection could be opened, so the request was not sent.
  Unreachable,
  // The connection broke, or the response was truncated or malformed.
  Broken,
  // No response arrived before the request's deadline.
  NoResponse,
  // Cancelled because no response is needed any more. The time for which it was
  // pending still counts as evidence.
  Abandoned,
  // The attempt was never started.
  Unused,
};

} // namespace filbertbeam
