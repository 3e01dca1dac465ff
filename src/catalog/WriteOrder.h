#pragma once

#include "catalog/ObjectCatalog.h"

namespace filbertbeam {

// What orders the writes of an object by its own writer.
struct WriteStamp
{
  // Start of the writer's run, in Unix milliseconds; 0 if unknown.
  std::int64_t startedAt = 0;
  // Increases with each write of a run; 0 if unknown.
  std::uint64_t number = 0;
};

// Orders the writes of the objects of a collection. The catalog may execute a
// write late, after later ones, so that its newest version of an object need
// not be what the writer wrote last.
class WriteOrder
{
public:
  virtual ~WriteOrder() = default;

  // Returns a stamp without a start for an object whose content is not valid.
  virtual WriteStamp ReadStamp(const CatalogObject& aObject) const = 0;
};

} // namespace filbertbeam
