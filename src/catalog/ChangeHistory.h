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
  // Discards all changes; the history starts after aVersion.
  void Reset(const CatalogVersion& aVersion);
  // Adds an event. Events have to be added in the order of their versions,
  // except for events that were added before.
  void Add(const CatalogEvent& aEvent);

  // Returns the changes after aVersion, oldest first, or nothing when some of
  // them have been discarded.
  std::optional<std::vector<CatalogEvent>> After(
    const CatalogVersion& aVersion) const;

  // The history contains the changes after this version.
  const CatalogVersion& Begin() const { return discardedVersion_; }

private:
  std::deque<CatalogEvent> events_;
  // Changes up to this version have been discarded.
  CatalogVersion discardedVersion_;
};

} // namespace filbertbeam
