#pragma once

#include <cstdint>

namespace filbertbeam {

// How one attempt at a backend server ended, as far as it says something about
// the server.
enum class AttemptResult : std::uint8_t
{
  // A whole response that is not a failure of the server.
  Responded,
  // The server answered that it failed.
  Failed,
  // The server states that it did not run the request, mostly because it is
  // full.
  NotExecuted,
  // Another server has the address now.
  WrongServer,
  // No connection could be opened; the request was not sent.
  Unreachable,
  // The connection broke or the response was cut short or malformed.
  Broken,
  // No response until the request's time was over.
  NoResponse,
  // Nobody waits for the response any more. Its age still counts.
  Abandoned,
  // The attempt was never started.
  Unused,
};

} // namespace filbertbeam
