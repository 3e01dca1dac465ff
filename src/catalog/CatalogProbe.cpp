#include "catalog/CatalogProbe.h"

namespace filbertbeam {

namespace {

// Sorts after the names of all objects, so that the page is empty.
constexpr std::string_view kAfterAllNames = "~";

} // namespace

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
  catalog_.List(Collection::Configuration,
                kAfterAllNames,
                ListFreshness::MayBeStale,
                [this](const CatalogPage& aPage) {
                  isChecking_ = false;
                  if (aPage.failure.error == CatalogError::Unavailable &&
                      isNeeded_()) {
                    onFailure_(aPage.failure);
                  }
                });
}

} // namespace filbertbeam
