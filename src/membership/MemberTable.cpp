#include "membership/MemberTable.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// A host that is neither listed nor reachable is removed after this time. It
// exceeds the time for which the host lists and views of two hosts differ.
constexpr std::chrono::seconds kRemovalDelay{ 60 };
constexpr std::chrono::minutes kTombstoneLifetime{ 10 };

} // namespace

MemberEntry*
MemberTable::Find(std::uint64_t aId)
{
  const auto found = indexes_.find(aId);
  return found == indexes_.end() ? nullptr : &entries_[found->second];
}

const MemberEntry*
MemberTable::Find(std::uint64_t aId) const
{
  const auto found = indexes_.find(aId);
  return found == indexes_.end() ? nullptr : &entries_[found->second];
}

MemberEntry&
MemberTable::Add(HostDetails aDetails, Instant aNow)
{
  MemberEntry entry;
  entry.id = HostId(aDetails.host);
  entry.details = std::move(aDetails);
  entry.record.id = entry.id;
  entry.unlistedSince = aNow;
  entry.unreachableSince = aNow;
  indexes_[entry.id] = static_cast<std::uint32_t>(entries_.size());
  entries_.push_back(std::move(entry));
  return entries_.back();
}

void
MemberTable::Remove(std::span<const std::uint64_t> aIds)
{
  if (aIds.empty()) {
    return;
  }
  std::erase_if(entries_, [&](const MemberEntry& aEntry) {
    return std::ranges::find(aIds, aEntry.id) != aIds.end();
  });
  indexes_.clear();
  for (std::uint32_t i = 0; i < entries_.size(); ++i) {
    indexes_[entries_[i].id] = i;
  }
}

std::vector<std::uint64_t>
MemberTable::Expire(std::uint64_t aSelf, Instant aNow)
{
  std::erase_if(tombstones_, [&](const auto& aEach) {
    return aEach.second.expiresAt <= aNow;
  });
  std::vector<std::uint64_t> removed;
  for (const MemberEntry& entry : entries_) {
    if (entry.id == aSelf || entry.isListed ||
        entry.state != HostState::Unreachable) {
      continue;
    }
    const Instant since = std::max(entry.unlistedSince, entry.unreachableSince);
    if (aNow - since >= Duration(kRemovalDelay)) {
      removed.push_back(entry.id);
      tombstones_[entry.id] = { entry.record.version,
                                aNow + kTombstoneLifetime };
    }
  }
  Remove(removed);
  return removed;
}

bool
MemberTable::IsFromRemovedHost(const MemberRecord& aRecord) const
{
  const auto tombstone = tombstones_.find(aRecord.id);
  return tombstone != tombstones_.end() &&
         aRecord.version <= tombstone->second.version;
}

std::size_t
MemberTable::MemoryBytes() const
{
  constexpr std::size_t kHashNodeBytes = 32;
  // Short names are stored within std::string itself.
  std::size_t bytes = entries_.capacity() * sizeof(MemberEntry) +
                      indexes_.size() * kHashNodeBytes;
  for (const MemberEntry& entry : entries_) {
    bytes +=
      entry.record.disconnectedPartners.capacity() * sizeof(std::uint32_t);
  }
  return bytes;
}

} // namespace filbertbeam
