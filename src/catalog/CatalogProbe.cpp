#include "catalog/CatalogProbe.h"

namespace filbertbeam {

CatalogProbe::CatalogProbe(ObjectCatalog& aCatalog,
                           Predicate aIsNeeded,
                           FailureHandler aOnFailure,
                           ResponseHandler aOnResponse)
  : catalog_(aCatalog)
  , isNeeded_(std::move(aIsNeeded))
  , onFailure_(std::move(aOnFailure))
  , onResponse_(std::move(aOnResponse))
{
  timer_.callOnTimeout([this] { Check(); });
}

void
CatalogProbe::Start(std::chrono::milliseconds aInterval)
{
  timer_.start(aInterval);
}

void
CatalogProbe::Check()
{
  if (isChecking_ || !isNeeded_()) {
    return;
  }
  isChecking_ = true;
  catalog_.Probe([this](const CatalogFailure& aFailure) {
    isChecking_ = false;
    if (aFailure.error == CatalogError::Unavailable && isNeeded_()) {
      onFailure_(aFailure);
    } else if (aFailure.error == CatalogError::None && onResponse_) {
      onResponse_();
    }
  });
}

} // namespace filbertbeam
