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
  , checkedAt_(aClock.Now())
{
}

bool
CatalogProbe::Check()
{
  if (!isNeeded_() || Age() < kShortestProbePause) {
    return false;
  }
  checkedAt_ = clock_.Now();
  catalog_.Probe(
    [this](const CatalogFailure& aFailure) { OnResult(aFailure); });
  return true;
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
