#pragma once

#include "base/Clock.h"
#include "membership/SealedMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace filbertbeam {

// Refuses control messages that were received before or that took too long to
// arrive. Keeps state per incarnation of a sender, for a bounded number of
// them. Not thread-safe.
class ReplayFilter
{
public:
  enum class Verdict
  {
    Accepted,
    Replayed,
    // The first message of an incarnation, whose wall time differs too much
    // from that of the receiver.
    Outdated,
    // The message took longer than kMaxDelay to arrive.
    Delayed,
    // The filter is full of senders that sent within kMinRetention, so it
    // cannot add another one.
    TooManySenders,
  };

  // Greatest accepted difference in wall time for the first message of an
  // incarnation.
  static constexpr std::chrono::seconds kMaxWallDifference{ 30 };
  // Greatest accepted delay above the least one of the same incarnation.
  static constexpr std::chrono::seconds kMaxDelay{ 1 };
  // The state of an incarnation is kept at least this long after its last
  // message; a replay is outdated by then.
  static constexpr std::chrono::seconds kMinRetention{ 90 };
  static constexpr std::size_t kMaxSenders = 4096;

  Verdict Check(const SealedMessage& aMessage, Instant aNow, WallTime aWallNow);

  std::size_t SenderCount() const { return senders_.size(); }

private:
  struct Sender
  {
    Instant lastSeen;
    std::uint64_t greatestSequence = 0;
    // Bit n is set when sequence number greatestSequence - n was received.
    std::uint64_t seen = 0;
    // Least difference between the receiver's and the sender's monotonic time.
    Duration leastOffset{ 0 };
    Instant leastOffsetAt;
    // Start of the period in which every message was late, and the least offset
    // within it.
    std::optional<Instant> lateSince;
    Duration lateOffset{ 0 };
  };

  static bool IsNew(Sender& aSender, std::uint64_t aSequence);
  static bool IsLate(Sender& aSender, Duration aOffset, Instant aNow);
  bool MakeRoom(Instant aNow);

  std::map<std::pair<std::string, std::uint64_t>, Sender> senders_;
};

} // namespace filbertbeam
