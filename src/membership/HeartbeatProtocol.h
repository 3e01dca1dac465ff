#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "membership/ControlChannel.h"
#include "membership/HeartbeatCodec.h"
#include "membership/HeartbeatComposer.h"
#include "membership/HeartbeatLink.h"
#include "membership/ListedHost.h"
#include "membership/MemberTable.h"
#include "membership/MembershipView.h"
#include "membership/PartnerRing.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace filbertbeam {

inline constexpr std::chrono::milliseconds kHeartbeatInterval{ 500 };
// Interval at which Tick is called. It is shorter than the heartbeat interval,
// so that timeouts are detected and reports forwarded between two heartbeats of
// a link.
inline constexpr std::chrono::milliseconds kHeartbeatTickInterval{ 100 };

struct OutgoingHeartbeat
{
  std::string host;
  Endpoint to;
  std::string payload;
};

// The greatest configuration revision in the records of reachable hosts, and a
// host that has it in force.
struct ConfigurationHolder
{
  std::uint64_t revision = 0;
  std::string host;
  Endpoint relay;
};

// Determines which hosts are live from heartbeats between a bounded number of
// partners. Does no I/O: the caller sends the heartbeats that Tick returns,
// passes received ones to OnHeartbeat, and calls Tick every
// kHeartbeatTickInterval. Not thread-safe.
class HeartbeatProtocol
{
public:
  // Limits the bytes of all heartbeats, including their sealed headers: the
  // allowance grows by kBytesPerTick with each Tick up to kByteBurst. Over any
  // minute the traffic stays below 8 KB/s, the budget of a host for control.
  // The burst lets the reports about a lost domain spread within seconds.
  static constexpr std::size_t kBytesPerTick = 740;
  static constexpr std::size_t kByteBurst = 30'000;

  // aSelf provides the host, region, domain and endpoints; an incarnation of 0
  // is replaced by a random one. aClock and aRandom have to outlive the object.
  HeartbeatProtocol(const Member& aSelf, const Clock& aClock, Random& aRandom);

  std::uint64_t Incarnation() const;

  // Sets the list of hosts as last read. It adds candidates and marks hosts as
  // leaving; a host that it no longer contains stays a member until it is
  // unreachable. Entries without a control port are other machines and are
  // ignored.
  void SetListedHosts(std::span<const ListedHost> aHosts);

  void SetConfigurationRevision(std::uint64_t aRevision);

  // Announces that this host is leaving, after which other hosts give it no
  // ownership.
  void StartLeaving();

  // Returns false and changes nothing when the payload is malformed or does not
  // match its sender.
  bool OnHeartbeat(const ControlSender& aSender, ByteView aPayload);

  std::vector<OutgoingHeartbeat> Tick();

  // Returns the current view; the same object until something changes.
  std::shared_ptr<const MembershipView> View();

  // Returns nothing until a reachable host has announced a revision above 0.
  std::optional<ConfigurationHolder> NewestConfiguration() const;

  // Returns the names of at most PartnerRing::kMaxPartners hosts.
  std::vector<std::string> Partners() const;

  // Returns the approximate number of bytes used by members and links.
  std::size_t MemoryBytes() const;

private:
  MemberEntry& Self() { return *members_.Find(selfId_); }
  const MemberEntry& Self() const { return *members_.Find(selfId_); }
  MemberEntry& AddMember(HostDetails aDetails);
  // Removes the links to members that were removed from the table.
  void OnMembersRemoved(std::span<const std::uint64_t> aIds);
  void OnMembersChanged();
  void UpdateRing();

  void MergeRecord(const MemberRecord& aRecord, std::uint64_t aFrom);
  void MergeRecordOfSelf(const MemberRecord& aRecord);
  void Forward(std::uint64_t aId, std::uint64_t aExcept, bool aIsUrgent);
  void BumpOwnVersion(bool aIsUrgent);
  void UpdateOwnLeaving();

  Duration RecordExchangeTime() const;
  void ResumeAfterPause(Instant aNow);
  void UpdateLinks(Instant aNow);
  void UpdateIsolation();
  void UpdateStates(Instant aNow);
  // Evaluates the links that all members report as broken, and updates which
  // members these reports make unreachable.
  void ApplyReports(Instant aNow);
  void SetState(MemberEntry& aEntry, HostState aState, Instant aNow);

  void AddLink(std::uint64_t aPeer, bool aIsPartner);

  const Clock& clock_;
  Random& random_;
  std::uint64_t selfId_;

  MemberTable members_;
  PartnerRing ring_;
  bool isRingStale_ = true;
  HeartbeatLinks links_;
  HeartbeatComposer composer_;

  std::size_t byteAllowance_ = kByteBurst;
  bool isLeaving_ = false;
  bool isIsolated_ = true;
  bool hasTicked_ = false;
  Instant lastTick_;
  // Listed hosts that never sent a record count as live until
  // presumeLiveUntil_.
  bool hasList_ = false;
  bool isPresumingLive_ = false;
  Instant presumeLiveUntil_;
  bool areStatesStale_ = true;
  bool isViewStale_ = true;
  std::shared_ptr<const MembershipView> view_;
};

} // namespace filbertbeam
