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
// How often Tick is called. Timeouts are noticed, and reports passed on, in
// between the heartbeats of a link.
inline constexpr std::chrono::milliseconds kHeartbeatTickInterval{ 100 };

struct OutgoingHeartbeat
{
  std::string host;
  Endpoint to;
  std::string payload;
};

// The greatest configuration revision receivedFrom, and a host that has it in
// force.
struct ConfigurationHolder
{
  std::uint64_t revision = 0;
  std::string host;
  Endpoint relay;
};

// Decides which hosts are live from heartbeats between bounded partners. Pure
// logic: the caller sends what Tick returns, passes in what arrives, and calls
// Tick every kHeartbeatTickInterval. Not thread-safe.
class HeartbeatProtocol
{
public:
  // Bytes of all heartbeats, with their sealed headers: the allowance grows by
  // kBytesPerTick with each Tick up to kByteBurst. Over any minute this stays
  // below 8 KB/s, the budget of a host for control. The burst lets the reports
  // of a lost domain spread within seconds.
  static constexpr std::size_t kBytesPerTick = 740;
  static constexpr std::size_t kByteBurst = 30'000;

  // aSelf gives host, region, domain and endpoints; an incarnation of 0 is
  // replaced by a random one. aClock and aRandom have to outlive the object.
  HeartbeatProtocol(const Member& aSelf, const Clock& aClock, Random& aRandom);

  std::uint64_t Incarnation() const;

  // The list of hosts, as last read. It adds candidates and leaving
  // marks; a host that it no longer names stays until it is unreachable.
  // Entries without control port are other machines.
  void SetListedHosts(std::span<const ListedHost> aHosts);

  void SetConfigurationRevision(std::uint64_t aRevision);

  // From now on other hosts give this one no ownership.
  void StartLeaving();

  // Returns false for a payload that is malformed or does not match its
  // sender; it changes nothing then.
  bool OnHeartbeat(const ControlSender& aSender, ByteView aPayload);

  std::vector<OutgoingHeartbeat> Tick();

  // The same object until something changes.
  std::shared_ptr<const MembershipView> View();

  // Empty until a revision above 0 was receivedFrom from a reachable host.
  std::optional<ConfigurationHolder> NewestConfiguration() const;

  // At most PartnerRing::kMaxPartners.
  std::vector<std::string> Partners() const;

  // Approximate bytes held for members and links.
  std::size_t MemoryBytes() const;

private:
  MemberEntry& Self() { return *members_.Find(selfId_); }
  const MemberEntry& Self() const { return *members_.Find(selfId_); }
  MemberEntry& AddMember(HostDetails aDetails);
  // Ends the links to members that are gone from the table.
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
  // What the reports of all members say of each.
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
  // Hosts of the list that never spoke count as live until then.
  bool hasList_ = false;
  bool isPresumingLive_ = false;
  Instant presumeLiveUntil_;
  bool areStatesStale_ = true;
  bool isViewStale_ = true;
  std::shared_ptr<const MembershipView> view_;
};

} // namespace filbertbeam
