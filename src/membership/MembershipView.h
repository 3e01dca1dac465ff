#pragma once

#include "http/HttpMessage.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

enum class HostState
{
  Live,
  Leaving,
  Unreachable,
};

// "live", "leaving" or "unreachable".
std::string_view
HostStateName(HostState aState);

struct Member
{
  std::string host;
  std::string region;
  std::string domain;
  // Random number made at the start of the process; 0 while unknown.
  std::uint64_t incarnation = 0;
  HostState state = HostState::Live;
  Endpoint relay;
  Endpoint control;
  // Revision of the configuration in force on that host, as last receivedFrom.
  std::uint64_t configurationRevision = 0;
};

// What one host believes about the fleet at one moment. Immutable.
class MembershipView
{
public:
  // aMembers includes the host itself, named by aSelf; null where it does not.
  static std::shared_ptr<const MembershipView> Create(
    std::string_view aSelf,
    std::vector<Member> aMembers,
    bool aIsIsolated);

  const Member& Self() const { return members_[selfIndex_]; }
  std::span<const Member> Members() const { return members_; }
  const Member* Find(std::string_view aHost) const;
  int LiveCount() const { return liveCount_; }

  // True when most partners of this host do not hear it; it then owns nothing.
  bool IsIsolated() const { return isIsolated_; }

  // First live host of the domain by rendezvous hash; when the domain has
  // none, first of the region, then of all. Null when no host is live.
  const Member* OwnerOfShard(std::string_view aShardKey,
                             std::string_view aRegion,
                             std::string_view aDomain) const;

  // First live host of all by rendezvous hash of the customer.
  const Member* HomeOfCustomer(std::string_view aCustomer) const;

private:
  MembershipView(std::vector<Member> aMembers,
                 std::size_t aSelfIndex,
                 bool aIsIsolated);

  // A live host; an isolated host never counts itself.
  bool CanOwn(const Member& aMember) const;

  // Sorted by host.
  std::vector<Member> members_;
  std::size_t selfIndex_;
  bool isIsolated_;
  int liveCount_ = 0;
};

} // namespace filbertbeam
