#pragma once

#include "http/HttpMessage.h"

#include <chrono>
#include <optional>
#include <string>

namespace filbertbeam {

// Problem details of RFC 9457 with the known outcome of the request.
struct ProblemDetails
{
  int status = 500;
  std::string title;
  // Human-readable explanation; says what to do if that is known.
  std::string detail;
  // Whether the request ran: "ran", "not-run" or "unknown".
  std::string outcome = "not-run";
  // Identifies the request in logs.
  std::string requestId;
  std::optional<std::chrono::seconds> retryAfter;
};

// Returns the status and fields of a problem response, without framing.
HttpResponseHead
ProblemHead(const ProblemDetails& aProblem);
// Returns the JSON body of a problem response.
std::string
ProblemBody(const ProblemDetails& aProblem);

} // namespace filbertbeam
