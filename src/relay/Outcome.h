#pragma once

#include <optional>
#include <string_view>

namespace filbertbeam {

// What is known about whether a request ran on a backend server.
enum class Outcome
{
  Ran,
  NotRun,
  Unknown,
};

// "ran", "not-run" or "unknown".
std::string_view
OutcomeName(Outcome aOutcome);
std::optional<Outcome>
ParseOutcome(std::string_view aName);

} // namespace filbertbeam
