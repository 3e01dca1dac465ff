#include "slots/ShardScheduler.h"

#include "slots/FairShardScheduler.h"

namespace filbertbeam {

std::unique_ptr<ShardScheduler>
ShardScheduler::Create(const Service& aService, std::uint64_t aSeed)
{
  return std::make_unique<FairShardScheduler>(aService, aSeed);
}

} // namespace filbertbeam
