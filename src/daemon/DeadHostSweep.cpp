#include "daemon/DeadHostSweep.h"

#include "catalog/DeadHostEntry.h"

#include <utility>

namespace filbertbeam {

std::vector<std::string>
DeadHostSweep::TakeDeadHosts(std::span<const ListedHost> aListed,
                             const MembershipView& aView,
                             Instant aNow)
{
  std::map<std::string, Instant, std::less<>> before =
    std::exchange(unreachableSince_, {});
  std::vector<std::string> expired;
  for (const ListedHost& listed : aListed) {
    const Member* const member = aView.Find(listed.host);
    if (member == nullptr || member->state != HostState::Unreachable) {
      continue;
    }
    const auto known = before.find(listed.host);
    const Instant since = known == before.end() ? aNow : known->second;
    if (aNow - since < kDeadHostRemovalDelay) {
      unreachableSince_.emplace(listed.host, since);
      continue;
    }
    // Only the owner of this shard key removes the entry. Hosts that disagree
    // about the owner may both remove it, which is harmless.
    const Member* const owner = aView.OwnerOfShard(
      "host-list/" + listed.host, listed.region, listed.domain);
    if (owner == &aView.Self()) {
      expired.push_back(listed.host);
    } else {
      unreachableSince_.emplace(listed.host, since);
    }
  }
  return expired;
}

} // namespace filbertbeam
