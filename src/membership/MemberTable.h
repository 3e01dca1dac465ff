#pragma once

#include "base/Clock.h"
#include "membership/MemberRecord.h"
#include "membership/MembershipView.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// What a host knows of another one, or of itself.
struct MemberEntry
{
  std::uint64_t id = 0;
  HostDetails details;
  // Version 0 until the host spoke; without details.
  MemberRecord record;
  bool isListed = false;
  bool isListedLeaving = false;
  // The list has the same details, so that they need not be sent.
  bool hasListedDetails = false;
  Instant unlistedSince;
  // Reports say that the host is unreachable.
  bool isReported = false;
  bool isUnresponsive = false;
  // Version of the record when isUnresponsive began. The host stays unheard
  // until it speaks with a later version.
  std::uint64_t unresponsiveVersion = 0;
  Instant unresponsiveSince;
  HostState state = HostState::Unreachable;
  Instant unreachableSince;
};

// The members of the fleet that a host knows, and for a while the versions of
// those that it forgot.
class MemberTable
{
public:
  // Pointers and references to entries hold until the next Add or Remove.
  MemberEntry* Find(std::uint64_t aId);
  const MemberEntry* Find(std::uint64_t aId) const;
  // The position in Entries; aId has to be known.
  std::uint32_t IndexOf(std::uint64_t aId) const { return indexes_.at(aId); }

  std::span<MemberEntry> Entries() { return entries_; }
  std::span<const MemberEntry> Entries() const { return entries_; }
  std::size_t Size() const { return entries_.size(); }

  MemberEntry& Add(HostDetails aDetails, Instant aNow);
  void Remove(std::span<const std::uint64_t> aIds);

  // Forgets the hosts that are neither listed nor reachable any more, but for
  // aSelf. Returns their ids.
  std::vector<std::uint64_t> Expire(std::uint64_t aSelf, Instant aNow);
  // True for a record of a forgotten host that others still pass on.
  bool IsFromRemovedHost(const MemberRecord& aRecord) const;
  // The host is listed again, so that any record of it counts.
  void RemoveTombstone(std::uint64_t aId) { tombstones_.erase(aId); }

  // Approximate.
  std::size_t MemoryBytes() const;

private:
  struct Tombstone
  {
    std::uint64_t version = 0;
    Instant expiresAt;
  };

  std::vector<MemberEntry> entries_;
  std::unordered_map<std::uint64_t, std::uint32_t> indexes_;
  std::unordered_map<std::uint64_t, Tombstone> tombstones_;
};

} // namespace filbertbeam
