#include "catalog/ChangeHistory.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// More than the changes of the few seconds by which a peer may be behind, also
// when most backend servers of a large deployment are replaced at once.
constexpr std::size_t kMaxEvents = 2'048;

} // namespace

void
ChangeHistory::Reset(std::uint64_t aRevision)
{
  events_.clear();
  discardedRevision_ = aRevision;
}

void
ChangeHistory::Add(const CatalogEvent& aEvent)
{
  events_.push_back(aEvent);
  if (events_.size() > kMaxEvents) {
    discardedRevision_ =
      std::max(discardedRevision_, events_.front().object.revision);
    events_.pop_front();
  }
}

std::optional<std::vector<CatalogEvent>>
ChangeHistory::After(std::uint64_t aRevision) const
{
  if (aRevision < discardedRevision_) {
    return std::nullopt;
  }
  std::vector<CatalogEvent> events;
  std::ranges::copy_if(events_,
                       std::back_inserter(events),
                       [aRevision](const CatalogEvent& aEach) {
                         return aEach.object.revision > aRevision;
                       });
  return events;
}

} // namespace filbertbeam
