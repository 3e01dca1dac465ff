#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace filbertbeam {

// A link counts as broken when no heartbeat was received on it for this time.
inline constexpr std::chrono::milliseconds kHeartbeatTimeout{ 1'500 };

// A record that has to be sent on a link. It is sent once, and not at all when
// the peer already has it: other links and the refresh compensate for lost
// messages. Sending twice would double the time that the reports about a lost
// domain take.
struct PendingUpdate
{
  std::uint64_t id = 0;
  bool isUrgent = false;
  bool withDetails = false;
};

// State of the heartbeats between a host and one of its peers.
struct HeartbeatLink
{
  bool IsReceiving(Instant aNow) const
  {
    return hasReceived && aNow - lastReceived <= Duration(kHeartbeatTimeout);
  }

  // Removes the pending updates of aId, whose record need not be sent any more.
  void RemovePending(std::uint64_t aId)
  {
    std::erase_if(
      pending, [aId](const PendingUpdate& aEach) { return aEach.id == aId; });
  }

  bool isPartner = false;
  bool hasReceived = false;
  Instant lastReceived;
  // The peer's last heartbeat lists this host as one from which it receives
  // heartbeats.
  bool isReceivedByPeer = false;
  // A new or resumed link is not reported as broken before this time.
  Instant graceUntil;
  bool isWorking = false;
  bool isReported = false;
  // This host requests records from the peer until this time.
  Instant wantsRecordsUntil;
  bool doesPeerWantRecords = false;
  // Index in the member table of the next record to refresh.
  std::size_t refreshCursor = 0;
  // A report or a change of state is pending, so the next heartbeat is sent
  // early.
  bool isUrgent = false;
  Instant nextHeartbeat;
  Instant lastSent;
  // ShortIds of hosts whose records the peer sent without details, which this
  // host needs.
  std::vector<std::uint32_t> detailRequests;
  // The latest change comes first.
  std::deque<PendingUpdate> pending;
};

// Links by the id of the peer.
using HeartbeatLinks = std::map<std::uint64_t, HeartbeatLink>;

} // namespace filbertbeam
