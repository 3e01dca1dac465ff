#pragma once

#include "base/Clock.h"
#include "catalog/ObjectCatalog.h"

#include <QTimer>

#include <functional>
#include <optional>

namespace filbertbeam {

inline constexpr std::chrono::milliseconds kCatalogProbeInterval{ 400 };

// Checks regularly whether the catalog still responds to this host. A watch
// waits for its response so long that nothing else shows in time that it has
// been lost. A check costs the least of all calls.
class CatalogProbe
{
public:
  using Predicate = std::function<bool()>;
  using ResponseHandler = std::function<void()>;
  using FailureHandler = std::function<void(const CatalogFailure&)>;

  // References have to outlive the object. aIsNeeded tells whether this host
  // has a watch that waits; without one, no check is made.
  CatalogProbe(ObjectCatalog& aCatalog,
               const Clock& aClock,
               Predicate aIsNeeded,
               ResponseHandler aOnResponse,
               FailureHandler aOnFailure);

  void Start();
  // When the catalog last responded to a check; empty before the first time.
  const std::optional<Instant>& RespondedAt() const { return respondedAt_; }

private:
  void Check();
  void OnResult(const CatalogFailure& aFailure);

  ObjectCatalog& catalog_;
  const Clock& clock_;
  const Predicate isNeeded_;
  const ResponseHandler onResponse_;
  const FailureHandler onFailure_;
  std::optional<Instant> respondedAt_;
  QTimer timer_;
};

} // namespace filbertbeam
