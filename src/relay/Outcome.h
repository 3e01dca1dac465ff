#pragma once

#include <optional>
#include <string_view>

namespace filbertbeam {

// Whether a request ran on a backend server, as far as the host can tell.
enum class Outcome
{
  Ran,
  NotRun,
  Unknown,
};

// Returns "ran", "not-run" or "unknown".
std::string_view
OutcomeName(Outcome aOutcome);
std::optional<Outcome>
ParseOutcome(std::string_view aName);

} // namespace filbertbeam
