#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace filbertbeam {

// A link without a heartbeat for this time does not work.
inline constexpr std::chrono::milliseconds kHeartbeatTimeout{ 1'500 };

// A record that still has to be sent on a link. It is sent once, unless the
// peer has it by then: the other links and the refresh make up for a lost
// message. Twice would double the time that the reports of a lost domain
// take.
struct PendingUpdate
{
  std::uint64_t id = 0;
  bool isUrgent = false;
  bool withDetails = false;
};

// The state of the heartbeats between a host and one of its peers.
struct HeartbeatLink
{
  bool IsReceiving(Instant aNow) const
  {
    return hasReceived && aNow - lastReceived <= Duration(kHeartbeatTimeout);
  }

  // The record of aId need not be sent any more.
  void RemovePending(std::uint64_t aId)
  {
    std::erase_if(
      pending, [aId](const PendingUpdate& aEach) { return aEach.id == aId; });
  }

  bool isPartner = false;
  bool hasReceived = false;
  Instant lastReceived;
  // The peer's last heartbeat names this host as receivedFrom.
  bool isReceivedByPeer = false;
  // Until then a new or resumed link is not reported.
  Instant graceUntil;
  bool isWorking = false;
  bool isReported = false;
  // Until then this host asks the peer for records.
  Instant wantsRecordsUntil;
  bool doesPeerWantRecords = false;
  // Next index of the member table to refresh.
  std::size_t refreshCursor = 0;
  // A report or a change of state waits: the next heartbeat goes early.
  bool isUrgent = false;
  Instant nextHeartbeat;
  Instant lastSent;
  // Hosts of which the peer sent a record without details.
  std::vector<std::uint32_t> detailRequests;
  // Latest change first.
  std::deque<PendingUpdate> pending;
};

// By the id of the peer.
using HeartbeatLinks = std::map<std::uint64_t, HeartbeatLink>;

} // namespace filbertbeam
