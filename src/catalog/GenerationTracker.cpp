#include "catalog/GenerationTracker.h"

#include "catalog/CatalogVersion.h"

namespace filbertbeam {

namespace {

// A host can miss some restores while it is cut off, but not so many.
constexpr std::uint64_t kMaxMissedRestores = 1'000;

} // namespace

bool
GenerationTracker::IsPlausible(std::uint64_t aGeneration) const
{
  return aGeneration <= kMaxCatalogGeneration &&
         (!current_ || aGeneration <= *current_ + kMaxMissedRestores);
}

std::optional<std::uint64_t>
GenerationTracker::OnResponse(std::optional<std::uint64_t> aStated,
                              std::uint64_t aSentIn,
                              std::string_view aCall)
{
  const bool isStated = aStated && IsPlausible(*aStated);
  const std::uint64_t generation = isStated ? *aStated : aSentIn;
  if (generation < Current()) {
    return std::nullopt;
  }
  if (isStated) {
    Advance(generation, aCall);
  }
  return generation;
}

bool
GenerationTracker::OnPeerGeneration(std::uint64_t aGeneration)
{
  if (!IsPlausible(aGeneration)) {
    return false;
  }
  // A peer that has not read the catalog yet reports 0.
  if (aGeneration > Current()) {
    Advance(aGeneration, "peer");
  }
  return true;
}

void
GenerationTracker::Advance(std::uint64_t aGeneration, std::string_view aSource)
{
  if (current_ && aGeneration <= *current_) {
    return;
  }
  const bool isFirst = !current_;
  const CatalogRestore restore{ Current(), aGeneration, aSource };
  current_ = aGeneration;
  if (!isFirst && handler_) {
    handler_(restore);
  }
}

} // namespace filbertbeam
