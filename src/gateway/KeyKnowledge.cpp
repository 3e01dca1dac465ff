#include "gateway/KeyKnowledge.h"

#include <algorithm>

namespace filbertbeam {

std::optional<Instant>
ConfirmedAt(const ConfigurationContact& aContact)
{
  if (!aContact.isComplete || aContact.lacksReportedChange) {
    return std::nullopt;
  }
  // An empty time is less than any other.
  return std::max(aContact.catalogRespondedAt, aContact.coveredAt);
}

void
KeyKnowledge::Confirm(Instant aTime)
{
  confirmedAt_ = std::max(confirmedAt_, std::optional(aTime));
}

bool
KeyKnowledge::MayJudge(Instant aNow) const
{
  return !limit_ || (confirmedAt_ && aNow - *confirmedAt_ <= *limit_);
}

} // namespace filbertbeam
