#include "slots/ShardScheduler.h"

#include "slots/FairShardScheduler.h"

namespace filbertbeam {

std::string_view
ServerStateName(ServerState aState)
{
  switch (aState) {
    case ServerState::Healthy:
      return "healthy";
    case ServerState::Cold:
      return "cold";
    case ServerState::Ejected:
      return "ejected";
    case ServerState::Trial:
      return "trial";
    case ServerState::Leaving:
      return "leaving";
  }
  return "unknown";
}

std::unique_ptr<ShardScheduler>
ShardScheduler::Create(const Service& aService, std::uint64_t aSeed)
{
  return std::make_unique<FairShardScheduler>(aService, aSeed);
}

} // namespace filbertbeam
