#pragma once

#include "catalog/ObjectCatalog.h"

#include <deque>
#include <optional>
#include <vector>

namespace filbertbeam {

// The latest changes of a collection in the order in which they were read, for
// peers that follow this host in place of the catalog.
class ChangeHistory
{
public:
  // Nothing is known of the changes up to aRevision.
  void Reset(std::uint64_t aRevision);
  // Events have to come in the order of their revisions, except for repeated
  // ones.
  void Add(const CatalogEvent& aEvent);

  // The changes after aRevision, oldest first; nothing when some of them are
  // not known any more.
  std::optional<std::vector<CatalogEvent>> After(std::uint64_t aRevision) const;

private:
  std::deque<CatalogEvent> events_;
  std::uint64_t discardedRevision_ = 0;
};

} // namespace filbertbeam
