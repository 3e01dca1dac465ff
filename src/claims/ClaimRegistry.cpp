#include "claims/ClaimRegistry.h"

#include "claims/StoreClaimRegistry.h"

namespace filbertbeam {

std::unique_ptr<ClaimRegistry>
ClaimRegistry::Create(ObjectStore& aStore,
                      const Clock& aClock,
                      Random& aRandom,
                      std::string_view aHost,
                      std::uint64_t aIncarnation,
                      const ClaimLimits& aLimits)
{
  return std::make_unique<StoreClaimRegistry>(
    aStore, aClock, aRandom, aHost, aIncarnation, aLimits);
}

} // namespace filbertbeam
