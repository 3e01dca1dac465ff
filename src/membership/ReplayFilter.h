#pragma once

#include "base/Clock.h"
#include "membership/SealedMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace filbertbeam {

// Refuses control messages that were seen before or that were under way for
// too long. Keeps state per incarnation of a sender, for a bounded number of
// them. Not thread-safe.
class ReplayFilter
{
public:
  enum class Verdict
  {
    Accepted,
    Replayed,
    // The first message of an incarnation whose wall time is too far off.
    Outdated,
    // It was under way for longer than kMaxDelay.
    Delayed,
    // Too many senders spoke lately; none of them can be forgotten.
    TooManySenders,
  };

  // Longest accepted wall time difference of an unknown incarnation.
  static constexpr std::chrono::seconds kMaxWallDifference{ 30 };
  // Longest accepted delay above the shortest one of the same incarnation.
  static constexpr std::chrono::seconds kMaxDelay{ 1 };
  // An incarnation is forgotten no sooner than this after its last message;
  // by then a replay is outdated.
  static constexpr std::chrono::seconds kMinRetention{ 90 };
  static constexpr std::size_t kMaxSenders = 4096;

  Verdict Check(const SealedMessage& aMessage, Instant aNow, WallTime aWallNow);

  std::size_t SenderCount() const { return senders_.size(); }

private:
  struct Sender
  {
    Instant lastSeen;
    std::uint64_t greatestSequence = 0;
    // Bit n is set when greatestSequence - n was seen.
    std::uint64_t seen = 0;
    // Least difference of the receiver's and the sender's monotonic time.
    Duration leastOffset{ 0 };
    Instant leastOffsetAt;
    // Since when every message has come late, and the least offset of these.
    std::optional<Instant> lateSince;
    Duration lateOffset{ 0 };
  };

  static bool IsNew(Sender& aSender, std::uint64_t aSequence);
  static bool IsLate(Sender& aSender, Duration aOffset, Instant aNow);
  bool MakeRoom(Instant aNow);

  std::map<std::pair<std::string, std::uint64_t>, Sender> senders_;
};

} // namespace filbertbeam
