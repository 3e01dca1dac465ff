#pragma once

#include "base/Clock.h"
#include "membership/MemberRecord.h"
#include "membership/MembershipView.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// State that a host keeps about another host, or about itself.
struct MemberEntry
{
  std::uint64_t id = 0;
  HostDetails details;
  // Last record of the host, without details. The version is 0 until a record
  // was received.
  MemberRecord record;
  bool isListed = false;
  bool isListedLeaving = false;
  // The list contains the same details, so that they need not be sent.
  bool hasListedDetails = false;
  Instant unlistedSince;
  // Reports of other hosts make this host unreachable.
  bool isReported = false;
  bool isUnresponsive = false;
  // Version of the record when isUnresponsive was set. The host stays
  // unresponsive until it sends a newer version.
  std::uint64_t unresponsiveVersion = 0;
  Instant unresponsiveSince;
  HostState state = HostState::Unreachable;
  Instant unreachableSince;
};

// The members of the fleet that are known to a host and, for a limited time,
// the versions of removed ones.
class MemberTable
{
public:
  // Returns null when there is no such member. Pointers and references to
  // entries are valid until the next Add or Remove.
  MemberEntry* Find(std::uint64_t aId);
  const MemberEntry* Find(std::uint64_t aId) const;
  // Returns the index in Entries; aId has to be in the table.
  std::uint32_t IndexOf(std::uint64_t aId) const { return indexes_.at(aId); }

  std::span<MemberEntry> Entries() { return entries_; }
  std::span<const MemberEntry> Entries() const { return entries_; }
  std::size_t Size() const { return entries_.size(); }

  MemberEntry& Add(HostDetails aDetails, Instant aNow);
  void Remove(std::span<const std::uint64_t> aIds);

  // Removes the hosts, other than aSelf, that have been neither listed nor
  // reachable for some time. Returns their ids.
  std::vector<std::uint64_t> Expire(std::uint64_t aSelf, Instant aNow);
  // Returns true for a record of a removed host that others still forward.
  bool IsFromRemovedHost(const MemberRecord& aRecord) const;
  // Accepts any record of a removed host again, because the host is listed
  // again.
  void RemoveTombstone(std::uint64_t aId) { tombstones_.erase(aId); }

  // Returns the approximate number of bytes used by the table.
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
