#include "membership/HeartbeatComposer.h"

#include "membership/HeartbeatCodec.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// Number of unchanged records in each heartbeat, so that members that missed a
// change converge: 40 s on average at 1,300 members.
constexpr std::size_t kRefreshedRecords = 2;

MemberRecord
WireRecord(const MemberEntry& aEntry, bool aWithDetails)
{
  MemberRecord record = aEntry.record;
  if (aWithDetails || !aEntry.hasListedDetails) {
    record.details = aEntry.details;
  }
  return record;
}

} // namespace

// Collects the records of a heartbeat within its byte limit.
class HeartbeatComposer::Draft
{
public:
  Draft(Heartbeat aHeartbeat, std::size_t aMaxBytes)
    : heartbeat_(std::move(aHeartbeat))
    , maxBytes_(aMaxBytes)
  {
    // Array headers, the format version and a flag.
    constexpr std::size_t kFixedBytes = 7;
    constexpr std::size_t kShortIdBytes = 5;
    bytes_ = kFixedBytes + HeartbeatCodec::EncodedSize(heartbeat_.sender) +
             kShortIdBytes * (heartbeat_.receivedFrom.size() +
                              heartbeat_.detailRequests.size());
  }

  // Returns false when there is no room.
  bool Add(const MemberEntry& aEntry, bool aWithDetails)
  {
    MemberRecord record = WireRecord(aEntry, aWithDetails);
    const std::size_t size = HeartbeatCodec::EncodedSize(record);
    if (heartbeat_.updates.size() >= HeartbeatCodec::kMaxUpdates ||
        bytes_ + size > maxBytes_) {
      return false;
    }
    bytes_ += size;
    heartbeat_.updates.push_back(std::move(record));
    return true;
  }

  bool Contains(std::uint64_t aId) const
  {
    return std::ranges::find(heartbeat_.updates, aId, &MemberRecord::id) !=
           heartbeat_.updates.end();
  }

  std::string Encode() const { return HeartbeatCodec::Encode(heartbeat_); }

private:
  Heartbeat heartbeat_;
  const std::size_t maxBytes_;
  std::size_t bytes_ = 0;
};

HeartbeatComposer::HeartbeatComposer(const MemberTable& aMembers,
                                     HeartbeatLinks& aLinks,
                                     std::uint64_t aSelf)
  : members_(aMembers)
  , links_(aLinks)
  , self_(aSelf)
{
}

std::string
HeartbeatComposer::Compose(std::uint64_t aPeer,
                           std::size_t aMaxBytes,
                           bool aHasSpareBytes,
                           Instant aNow)
{
  HeartbeatLink& link = links_.at(aPeer);
  Heartbeat heartbeat;
  // A peer that has not confirmed the link may not have the details of this
  // host yet.
  heartbeat.sender = WireRecord(*members_.Find(self_), !link.isWorking);
  heartbeat.wantsRecords = aNow < link.wantsRecordsUntil;
  for (const auto& [id, each] : links_) {
    if (each.IsReceiving(aNow) &&
        heartbeat.receivedFrom.size() < HeartbeatCodec::kMaxReceivedFrom) {
      heartbeat.receivedFrom.push_back(ShortId(id));
    }
  }
  heartbeat.detailRequests.swap(link.detailRequests);

  Draft draft(std::move(heartbeat), aMaxBytes);
  AddPending(draft, link, aHasSpareBytes);
  Refresh(draft, aPeer, link, aHasSpareBytes);
  return draft.Encode();
}

void
HeartbeatComposer::AddPending(Draft& aDraft,
                              HeartbeatLink& aLink,
                              bool aHasSpareBytes) const
{
  std::size_t nonUrgent = 0;
  std::deque<PendingUpdate> kept;
  bool isFull = false;
  for (const PendingUpdate& pending : aLink.pending) {
    const MemberEntry* entry = members_.Find(pending.id);
    if (entry == nullptr || entry->record.version == 0) {
      continue;
    }
    const bool mayWait =
      !pending.isUrgent && !aHasSpareBytes && nonUrgent >= kRefreshedRecords;
    if (isFull || mayWait) {
      kept.push_back(pending);
    } else if (!aDraft.Add(*entry, pending.withDetails)) {
      isFull = true;
      kept.push_back(pending);
    } else if (!pending.isUrgent) {
      ++nonUrgent;
    }
  }
  aLink.pending.swap(kept);
}

void
HeartbeatComposer::Refresh(Draft& aDraft,
                           std::uint64_t aPeer,
                           HeartbeatLink& aLink,
                           bool aHasSpareBytes) const
{
  const auto entries = members_.Entries();
  const std::size_t wanted = aLink.doesPeerWantRecords && aHasSpareBytes
                               ? HeartbeatCodec::kMaxUpdates
                               : kRefreshedRecords;
  std::size_t added = 0;
  for (std::size_t i = 0; i < entries.size() && added < wanted; ++i) {
    const MemberEntry& entry = entries[aLink.refreshCursor % entries.size()];
    if (entry.id != self_ && entry.id != aPeer && entry.record.version > 0 &&
        !aDraft.Contains(entry.id)) {
      if (!aDraft.Add(entry, false)) {
        break;
      }
      ++added;
    }
    aLink.refreshCursor = (aLink.refreshCursor + 1) % entries.size();
  }
}

} // namespace filbertbeam
