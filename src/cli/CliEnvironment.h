#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "cli/AdminEndpoint.h"
#include "store/ObjectStore.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <istream>
#include <optional>
#include <ostream>
#include <string>

namespace filbertbeam {

// Options of a subcommand, read from the flags.
struct CliOptions
{
  bool json = false;
  // apply: wait until the revision is in force.
  bool wait = false;
  std::chrono::seconds waitTimeout{ 30 };
  // apply: the revision that the files are based on.
  std::optional<std::uint64_t> baseRevision;
  // Recorded with every revision.
  std::string author;
};

// Dependencies of one run of the tool. Tests replace all of them.
struct CliEnvironment
{
  // The store and the admin endpoint are null when their settings are missing.
  ObjectStore* store = nullptr;
  AdminEndpoint* admin = nullptr;
  const Clock& clock;
  Random& random;
  // Processes events for about 20 ms.
  std::function<void()> pause;
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
};

// Exit codes of the tool.
inline constexpr int kExitDone = 0;
// The change was refused, files have findings, or there is a conflict.
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;
// The store or the daemon cannot be reached.
inline constexpr int kExitUnreachable = 3;

} // namespace filbertbeam
