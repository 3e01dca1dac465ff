#include "base/Findings.h"

#include <fmt/format.h>

#include <utility>

namespace filbertbeam {

void
Findings::Add(Finding aFinding)
{
  items_.push_back(std::move(aFinding));
}

std::string
Findings::Format() const
{
  std::string text;
  for (const Finding& finding : items_) {
    text += finding.source;
    if (finding.line > 0) {
      text += fmt::format(":{}", finding.line);
    }
    text += ": ";
    if (!finding.field.empty()) {
      text += finding.field + ": ";
    }
    text += finding.message + '\n';
  }
  return text;
}

} // namespace filbertbeam
