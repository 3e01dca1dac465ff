#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// Load of a shard, reported to entry hosts with every relayed response.
struct RelayLoad
{
  int slots = 0;
  int freeSlots = 0;
  int queued = 0;
};

// Returns "slots/free/queued".
std::string
FormatRelayLoad(const RelayLoad& aLoad);
std::optional<RelayLoad>
ParseRelayLoad(std::string_view aText);

} // namespace filbertbeam
