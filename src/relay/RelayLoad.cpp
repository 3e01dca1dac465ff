#include "relay/RelayLoad.h"

#include <fmt/format.h>

#include <charconv>

namespace filbertbeam {

std::string
FormatRelayLoad(const RelayLoad& aLoad)
{
  return fmt::format("{}/{}/{}", aLoad.slots, aLoad.freeSlots, aLoad.queued);
}

std::optional<RelayLoad>
ParseRelayLoad(std::string_view aText)
{
  RelayLoad load;
  const char* position = aText.data();
  const char* const end = aText.data() + aText.size();
  int* const numbers[] = { &load.slots, &load.freeSlots, &load.queued };
  for (int* number : numbers) {
    if (number != numbers[0]) {
      if (position == end || *position != '/') {
        return std::nullopt;
      }
      ++position;
    }
    const auto result = std::from_chars(position, end, *number);
    if (result.ec != std::errc() || *number < 0) {
      return std::nullopt;
    }
    position = result.ptr;
  }
  if (position != end) {
    return std::nullopt;
  }
  return load;
}

} // namespace filbertbeam
