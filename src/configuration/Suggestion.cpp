#include "configuration/Suggestion.h"

#include <fmt/format.h>

#include <algorithm>

namespace filbertbeam {

namespace {

// Longer texts are unlikely to be typing errors, and comparing them is slow.
constexpr std::size_t kMaxLength = 64;

// Levenshtein distance in which a swap of two adjacent characters counts as one
// edit.
std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> beforeLast(aRight.size() + 1);
  std::vector<std::size_t> last(aRight.size() + 1);
  std::vector<std::size_t> row(aRight.size() + 1);
  for (std::size_t j = 0; j <= aRight.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    beforeLast.swap(last);
    last.swap(row);
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      const bool isEqual = aLeft[i - 1] == aRight[j - 1];
      row[j] = std::min(
        { last[j] + 1, row[j - 1] + 1, last[j - 1] + (isEqual ? 0 : 1) });
      if (i > 1 && j > 1 && aLeft[i - 1] == aRight[j - 2] &&
          aLeft[i - 2] == aRight[j - 1]) {
        row[j] = std::min(row[j], beforeLast[j - 2] + 1);
      }
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
  // At most a third of the characters may differ, so that short names do not
  // match by chance.
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
