#include "relay/Outcome.h"

namespace filbertbeam {

std::string_view
OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Ran:
      return "ran";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

std::optional<Outcome>
ParseOutcome(std::string_view aName)
{
  for (const Outcome outcome :
       { Outcome::Ran, Outcome::NotRun, Outcome::Unknown }) {
    if (OutcomeName(outcome) == aName) {
      return outcome;
    }
  }
  return std::nullopt;
}

} // namespace filbertbeam
