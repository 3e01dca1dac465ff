#include "catalog/CatalogProbe.h"

namespace filbertbeam {

CatalogProbe::CatalogProbe(ObjectCatalog& aCatalog,
                           Predicate aIsNeeded,
                           FailureHandler aOnFailure)
  : catalog_(aCatalog)
  , isNeeded_(std::move(aIsNeeded))
  , onFailure_(std::move(aOnFailure))
{
  timer_.callOnTimeout([this] { Check(); });
}

void
CatalogProbe::Start()
{
  timer_.start(kCatalogProbeInterval);
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
    }
  });
}

} // namespace filbertbeam
