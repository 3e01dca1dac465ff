#include "catalog/CatalogProbe.h"

namespace filbertbeam {

CatalogProbe::CatalogProbe(ObjectCatalog& aCatalog,
                           const Clock& aClock,
                           Predicate aIsNeeded,
                           ResponseHandler aOnResponse,
                           FailureHandler aOnFailure)
  : catalog_(aCatalog)
  , clock_(aClock)
  , isNeeded_(std::move(aIsNeeded))
  , onResponse_(std::move(aOnResponse))
  , onFailure_(std::move(aOnFailure))
{
  timer_.callOnTimeout([this] { Check(); });
}

void
CatalogProbe::Start()
{
  timer_.start(kCatalogProbeInterval);
}

// A check does not wait for the response to the one before, so that a slow
// catalog does not make them rare.
void
CatalogProbe::Check()
{
  if (isNeeded_()) {
    catalog_.Probe(
      [this](const CatalogFailure& aFailure) { OnResult(aFailure); });
  }
}

void
CatalogProbe::OnResult(const CatalogFailure& aFailure)
{
  if (aFailure.error == CatalogError::None) {
    respondedAt_ = clock_.Now();
    onResponse_();
  } else if (aFailure.error == CatalogError::Unavailable && isNeeded_()) {
    onFailure_(aFailure);
  }
}

} // namespace filbertbeam
