#include "configuration/Suggestion.h"

#include <fmt/format.h>

#include <algorithm>

namespace filbertbeam {

namespace {

// Longer texts are no slip of the pen, and comparing them would cost time.
constexpr std::size_t kMaxLength = 64;

// Levenshtein distance.
std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  for (std::size_t j = 0; j <= aRight.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      const std::size_t replaced =
        diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replaced });
    }
  }
  return row.back();
}

} // namespace

std::string
SuggestName(std::string_view aText,
            const std::vector<std::string_view>& aCandidates)
{
  if (aText.size() > kMaxLength) {
    return {};
  }
  std::string_view closest;
  // A third of the letters may differ, so that short names do not match at
  // random.
  std::size_t leastDistance = aText.size() / 3 + 1;
  for (const std::string_view candidate : aCandidates) {
    if (candidate.size() > kMaxLength) {
      continue;
    }
    const std::size_t distance = EditDistance(aText, candidate);
    if (distance < leastDistance) {
      leastDistance = distance;
      closest = candidate;
    }
  }
  if (closest.empty()) {
    return {};
  }
  return fmt::format("; did you mean \"{}\"?", closest);
}

} // namespace filbertbeam
