#pragma once

#include "base/Clock.h"
#include "http/HttpMessage.h"

#include <cstdint>
#include <string>

namespace filbertbeam {

// The state that a backend server last reported.
struct BackendServerRecord
{
  // Identifies one run of the server, in most cases.
  std::string id;
  // Start of the run; changes if a server restarts with the same id.
  std::int64_t startedAt = 0; // Unix milliseconds
  std::string service;
  Endpoint address;
  std::string domain;
  // Number of requests that it processes concurrently.
  int slots = 1;
  // Whether it finishes its running requests and accepts no new ones.
  bool isDraining = false;
  // Until then, it is slower than usual.
  Instant warmupEndsAt;

  bool operator==(const BackendServerRecord&) const = default;
};

} // namespace filbertbeam
