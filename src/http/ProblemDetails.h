#pragma once

#include "http/HttpMessage.h"

#include <chrono>
#include <optional>
#include <string>

namespace filbertbeam {

// A problem report of RFC 9457 with what is known about the request's outcome.
struct ProblemDetails
{
  int status = 500;
  std::string title;
  // For people; says what to do where that is known.
  std::string detail;
  // "ran", "not-run" or "unknown".
  std::string outcome = "not-run";
  // Names the request in logs.
  std::string requestId;
  std::optional<std::chrono::seconds> retryAfter;
};

// Status and fields, without framing.
HttpResponseHead
ProblemHead(const ProblemDetails& aProblem);
// JSON text.
std::string
ProblemBody(const ProblemDetails& aProblem);

} // namespace filbertbeam
