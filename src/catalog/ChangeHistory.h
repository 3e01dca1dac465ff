#pragma once

#include "catalog/ObjectCatalog.h"

#include <deque>
#include <optional>
#include <vector>

namespace filbertbeam {

// Keeps the latest changes of a collection in the order in which they were
// read, for peers that follow this host instead of watching the catalog.
class ChangeHistory
{
public:
  // Discards all changes; the history starts after aRevision.
  void Reset(std::uint64_t aRevision);
  // Adds an event. Events have to be added in the order of their revisions,
  // except for events that were added before.
  void Add(const CatalogEvent& aEvent);

  // Returns the changes after aRevision, oldest first, or nothing when some of
  // them have been discarded.
  std::optional<std::vector<CatalogEvent>> After(std::uint64_t aRevision) const;

  // The history contains the changes after this revision.
  std::uint64_t Begin() const { return discardedRevision_; }

private:
  std::deque<CatalogEvent> events_;
  // Changes up to this revision have been discarded.
  std::uint64_t discardedRevision_ = 0;
};

} // namespace filbertbeam
