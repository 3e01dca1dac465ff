#pragma once

#include "base/Clock.h"
#include "catalog/ObjectCatalog.h"

#include <functional>
#include <optional>

namespace filbertbeam {

// No check follows another within this time.
inline constexpr std::chrono::milliseconds kShortestProbePause{ 700 };

// Checks whether the catalog still responds to this host. A watch waits for its
// response so long that nothing else shows in time that it has been lost. A
// check costs the least of all calls.
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

  // Sends a check, also while an earlier one waits for its response, so that a
  // slow catalog does not make checks rare. Returns false when none is needed
  // or the last one was sent too short a time ago.
  bool Check();
  // The time since the last check, or since the start.
  Duration Age() const { return clock_.Now() - checkedAt_; }
  // When the catalog last responded to a check; empty before the first time.
  const std::optional<Instant>& RespondedAt() const { return respondedAt_; }

private:
  void OnResult(const CatalogFailure& aFailure);

  ObjectCatalog& catalog_;
  const Clock& clock_;
  const Predicate isNeeded_;
  const ResponseHandler onResponse_;
  const FailureHandler onFailure_;
  Instant checkedAt_;
  std::optional<Instant> respondedAt_;
};

} // namespace filbertbeam
