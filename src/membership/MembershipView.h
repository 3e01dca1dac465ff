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

// Returns "live", "leaving" or "unreachable".
std::string_view
HostStateName(HostState aState);

struct Member
{
  std::string host;
  std::string region;
  std::string domain;
  // Random number that the process chose when it started; 0 while unknown.
  std::uint64_t incarnation = 0;
  HostState state = HostState::Live;
  Endpoint relay;
  Endpoint control;
  // Revision of the configuration in force on that host, as last received.
  std::uint64_t configurationRevision = 0;
};

// The members of the fleet and their states, as one host has received them at
// one moment. Immutable.
class MembershipView
{
public:
  // aMembers has to include the host itself, which is named aSelf; otherwise
  // returns null.
  static std::shared_ptr<const MembershipView> Create(
    std::string_view aSelf,
    std::vector<Member> aMembers,
    bool aIsIsolated);

  const Member& Self() const { return members_[selfIndex_]; }
  std::span<const Member> Members() const { return members_; }
  const Member* Find(std::string_view aHost) const;
  int LiveCount() const { return liveCount_; }

  // Returns true when this host has no working link to most of its partners;
  // it then owns nothing.
  bool IsIsolated() const { return isIsolated_; }

  // Returns the first live host of the domain by rendezvous hash; when the
  // domain has none, the first of the region, then of all. Returns null when no
  // host is live.
  const Member* OwnerOfShard(std::string_view aShardKey,
                             std::string_view aRegion,
                             std::string_view aDomain) const;

  // Returns the first live host of all by rendezvous hash of the customer, or
  // null.
  const Member* HomeOfCustomer(std::string_view aCustomer) const;

private:
  MembershipView(std::vector<Member> aMembers,
                 std::size_t aSelfIndex,
                 bool aIsIsolated);

  // Returns true for a live host, except this host itself while it is isolated.
  bool CanOwn(const Member& aMember) const;

  // Sorted by host.
  std::vector<Member> members_;
  std::size_t selfIndex_;
  bool isIsolated_;
  int liveCount_ = 0;
};

} // namespace filbertbeam
