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

// What the flags say.
struct CliOptions
{
  bool json = false;
  // apply: wait until the revision is in force.
  bool wait = false;
  std::chrono::seconds waitTimeout{ 30 };
  // apply: the revision that the files were made from.
  std::optional<std::uint64_t> baseRevision;
  // Recorded with every revision.
  std::string author;
};

// The world of one run of the tool. Tests replace all of it.
struct CliEnvironment
{
  // Null where the setting is not given.
  ObjectStore* store = nullptr;
  AdminEndpoint* admin = nullptr;
  const Clock& clock;
  Random& random;
  // Lets about 20 ms pass and events be delivered.
  std::function<void()> pause;
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
};

// Exit codes of the tool.
inline constexpr int kExitDone = 0;
// Refused, findings or a conflict.
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;
// The store or the daemon cannot be reached.
inline constexpr int kExitUnreachable = 3;

} // namespace filbertbeam
