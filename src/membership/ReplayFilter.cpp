#include "membership/ReplayFilter.h"

#include <algorithm>

namespace filbertbeam {

namespace {

constexpr std::uint64_t kSequenceWindow = 64;

// Two monotonic clocks diverge by at most this fraction of the elapsed time,
// because NTP slews each of them by up to 500 ppm.
constexpr std::int64_t kDriftDivisor = 1000;

// The messages of a sender whose monotonic clock stopped for a while, as it
// does while a virtual machine is suspended, are late from then on. When all of
// its messages have been late for this time, the new offset is accepted.
// Messages that queued up during a pause of the receiver arrive within
// milliseconds, so they do not reach this time.
constexpr std::chrono::seconds kOffsetAdoptionTime{ 5 };

} // namespace

bool
ReplayFilter::IsNew(Sender& aSender, std::uint64_t aSequence)
{
  if (aSequence > aSender.greatestSequence) {
    const std::uint64_t shift = aSequence - aSender.greatestSequence;
    aSender.seen = shift < kSequenceWindow ? aSender.seen << shift : 0;
    aSender.seen |= 1;
    aSender.greatestSequence = aSequence;
    return true;
  }
  const std::uint64_t age = aSender.greatestSequence - aSequence;
  if (age >= kSequenceWindow || (aSender.seen >> age & 1U) != 0) {
    return false;
  }
  aSender.seen |= 1ULL << age;
  return true;
}

bool
ReplayFilter::IsLate(Sender& aSender, Duration aOffset, Instant aNow)
{
  const Duration allowed =
    aSender.leastOffset + (aNow - aSender.leastOffsetAt) / kDriftDivisor;
  if (aOffset <= allowed + Duration(kMaxDelay)) {
    aSender.leastOffset = std::min(allowed, aOffset);
    aSender.leastOffsetAt = aNow;
    aSender.lateSince.reset();
    return false;
  }
  if (!aSender.lateSince) {
    aSender.lateSince = aNow;
    aSender.lateOffset = aOffset;
  }
  aSender.lateOffset = std::min(aSender.lateOffset, aOffset);
  if (aNow - *aSender.lateSince < Duration(kOffsetAdoptionTime) ||
      aOffset > aSender.lateOffset + Duration(kMaxDelay)) {
    return true;
  }
  aSender.leastOffset = aSender.lateOffset;
  aSender.leastOffsetAt = aNow;
  aSender.lateSince.reset();
  return false;
}

bool
ReplayFilter::MakeRoom(Instant aNow)
{
  if (senders_.size() < kMaxSenders) {
    return true;
  }
  std::erase_if(senders_, [&](const auto& aEntry) {
    return aNow - aEntry.second.lastSeen >= Duration(kMinRetention);
  });
  return senders_.size() < kMaxSenders;
}

ReplayFilter::Verdict
ReplayFilter::Check(const SealedMessage& aMessage,
                    Instant aNow,
                    WallTime aWallNow)
{
  const Duration offset = aNow.time_since_epoch() - aMessage.uptime;
  auto found =
    senders_.find({ aMessage.sender.host, aMessage.sender.incarnation });
  if (found == senders_.end()) {
    const auto difference =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        aWallNow.time_since_epoch()) -
      aMessage.wallTime;
    // A wall time in the future is refused too, because the message could be
    // replayed until the clock of this host reaches it.
    if (std::chrono::abs(difference) > kMaxWallDifference) {
      return Verdict::Outdated;
    }
    if (!MakeRoom(aNow)) {
      return Verdict::TooManySenders;
    }
    Sender sender;
    sender.lastSeen = aNow;
    sender.greatestSequence = aMessage.sequence;
    sender.seen = 1;
    sender.leastOffset = offset;
    sender.leastOffsetAt = aNow;
    senders_.emplace(
      std::pair{ aMessage.sender.host, aMessage.sender.incarnation }, sender);
    return Verdict::Accepted;
  }
  Sender& sender = found->second;
  if (!IsNew(sender, aMessage.sequence)) {
    return Verdict::Replayed;
  }
  sender.lastSeen = aNow;
  return IsLate(sender, offset, aNow) ? Verdict::Delayed : Verdict::Accepted;
}

} // namespace filbertbeam
