#include "membership/MembershipView.h"

#include "base/Digest.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

// Returns the rendezvous weight of a host for a key that is already hashed.
// Hashing the key only once limits the cost of a decision over 1,300 hosts to
// one short hash per host.
std::uint64_t
RendezvousWeight(const Member& aMember, std::uint64_t aKeyHash)
{
  return StableHash(aMember.host, aKeyHash);
}

} // namespace

std::string_view
HostStateName(HostState aState)
{
  switch (aState) {
    case HostState::Live:
      return "live";
    case HostState::Leaving:
      return "leaving";
    case HostState::Unreachable:
      return "unreachable";
  }
  return "unknown";
}

std::shared_ptr<const MembershipView>
MembershipView::Create(std::string_view aSelf,
                       std::vector<Member> aMembers,
                       bool aIsIsolated)
{
  std::stable_sort(aMembers.begin(),
                   aMembers.end(),
                   [](const Member& aLeft, const Member& aRight) {
                     return aLeft.host < aRight.host;
                   });
  const auto duplicates =
    std::unique(aMembers.begin(),
                aMembers.end(),
                [](const Member& aLeft, const Member& aRight) {
                  return aLeft.host == aRight.host;
                });
  aMembers.erase(duplicates, aMembers.end());

  const auto self =
    std::find_if(aMembers.begin(), aMembers.end(), [&](const Member& aMember) {
      return aMember.host == aSelf;
    });
  if (self == aMembers.end()) {
    return nullptr;
  }
  const auto selfIndex = static_cast<std::size_t>(self - aMembers.begin());
  return std::shared_ptr<const MembershipView>(
    new MembershipView(std::move(aMembers), selfIndex, aIsIsolated));
}

MembershipView::MembershipView(std::vector<Member> aMembers,
                               std::size_t aSelfIndex,
                               bool aIsIsolated)
  : members_(std::move(aMembers))
  , selfIndex_(aSelfIndex)
  , isIsolated_(aIsIsolated)
  , liveCount_(static_cast<int>(
      std::count_if(members_.begin(), members_.end(), [](const Member& aEach) {
        return aEach.state == HostState::Live;
      })))
{
}

const Member*
MembershipView::Find(std::string_view aHost) const
{
  const auto found =
    std::lower_bound(members_.begin(),
                     members_.end(),
                     aHost,
                     [](const Member& aMember, std::string_view aName) {
                       return aMember.host < aName;
                     });
  if (found == members_.end() || found->host != aHost) {
    return nullptr;
  }
  return &*found;
}

bool
MembershipView::CanOwn(const Member& aMember) const
{
  return aMember.state == HostState::Live &&
         !(isIsolated_ && &aMember == &members_[selfIndex_]);
}

const Member*
MembershipView::OwnerOfShard(std::string_view aShardKey,
                             std::string_view aRegion,
                             std::string_view aDomain) const
{
  const std::uint64_t keyHash = StableHash(aShardKey);
  // The best host of the domain, of the region and of the fleet, in one pass.
  enum Scope
  {
    Domain,
    Region,
    Anywhere,
    ScopeCount,
  };
  const Member* best[ScopeCount] = {};
  std::uint64_t bestWeight[ScopeCount] = {};
  for (const Member& member : members_) {
    if (!CanOwn(member)) {
      continue;
    }
    const bool isInRegion = member.region == aRegion;
    const bool isInScope[ScopeCount] = { isInRegion && member.domain == aDomain,
                                         isInRegion,
                                         true };
    const std::uint64_t weight = RendezvousWeight(member, keyHash);
    for (int scope = Domain; scope < ScopeCount; ++scope) {
      // Of equal weights the first host by name wins, which is the same on
      // every host.
      if (isInScope[scope] &&
          (best[scope] == nullptr || weight > bestWeight[scope])) {
        best[scope] = &member;
        bestWeight[scope] = weight;
      }
    }
  }
  if (best[Domain] != nullptr) {
    return best[Domain];
  }
  return best[Region] != nullptr ? best[Region] : best[Anywhere];
}

const Member*
MembershipView::HomeOfCustomer(std::string_view aCustomer) const
{
  const std::uint64_t keyHash = StableHash(aCustomer);
  const Member* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const Member& member : members_) {
    if (!CanOwn(member)) {
      continue;
    }
    const std::uint64_t weight = RendezvousWeight(member, keyHash);
    if (best == nullptr || weight > bestWeight) {
      best = &member;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace filbertbeam
