#pragma once

#include "base/Clock.h"
#include "http/HttpMessage.h"

#include <cstdint>
#include <string>

namespace filbertbeam {

// What a backend server last said of itself.
struct BackendServerRecord
{
  // Of one run of the server, in most cases.
  std::string id;
  // The start of the run; differs when a server starts again with its old id.
  std::int64_t startedAt = 0; // Unix milliseconds
  std::string service;
  Endpoint address;
  std::string domain;
  // Requests that it works on at the same time.
  int slots = 1;
  // It finishes what it has and takes no new work.
  bool isDraining = false;
  // It is slower than usual until then.
  Instant warmupEndsAt;

  bool operator==(const BackendServerRecord&) const = default;
};

} // namespace filbertbeam
