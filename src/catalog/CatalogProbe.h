#pragma once

#include "catalog/ObjectCatalog.h"

#include <QTimer>

#include <functional>

namespace filbertbeam {

// A catalog that does not respond for this time is noticed.
inline constexpr std::chrono::milliseconds kCatalogProbeInterval{ 3'000 };

// Checks regularly whether the catalog still responds to this host. A watch
// waits for its response so long that nothing else shows in time that it has
// been lost. A check costs the least of all calls.
class CatalogProbe
{
public:
  using Predicate = std::function<bool()>;
  using FailureHandler = std::function<void(const CatalogFailure&)>;

  // aCatalog has to outlive the object. aIsNeeded tells whether this host has a
  // watch that waits; without one, no check is made.
  CatalogProbe(ObjectCatalog& aCatalog,
               Predicate aIsNeeded,
               FailureHandler aOnFailure);

  void Start();

private:
  void Check();

  ObjectCatalog& catalog_;
  const Predicate isNeeded_;
  const FailureHandler onFailure_;
  bool isChecking_ = false;
  QTimer timer_;
};

} // namespace filbertbeam
