#include "catalog/ChangeHistory.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// More than the changes of the few seconds by which a peer may be behind, also
// when most backend servers of a large deployment are replaced at once.
constexpr std::size_t kMaxEvents = 2'048;

} // namespace

void
ChangeHistory::Reset(const CatalogVersion& aVersion)
{
  events_.clear();
  discardedVersion_ = aVersion;
}

void
ChangeHistory::Add(const CatalogEvent& aEvent)
{
  events_.push_back(aEvent);
  if (events_.size() > kMaxEvents) {
    discardedVersion_ =
      std::max(discardedVersion_, events_.front().object.version);
    events_.pop_front();
  }
}

std::optional<std::vector<CatalogEvent>>
ChangeHistory::After(const CatalogVersion& aVersion) const
{
  if (aVersion < discardedVersion_) {
    return std::nullopt;
  }
  std::vector<CatalogEvent> events;
  std::ranges::copy_if(
    events_, std::back_inserter(events), [aVersion](const CatalogEvent& aEach) {
      return aEach.object.version > aVersion;
    });
  return events;
}

} // namespace filbertbeam
