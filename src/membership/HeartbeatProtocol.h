#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "membership/ControlChannel.h"
#include "membership/HeartbeatCodec.h"
#include "membership/ListedHost.h"
#include "membership/MembershipView.h"
#include "membership/PartnerRing.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

inline constexpr std::chrono::milliseconds kHeartbeatInterval{ 500 };
// How often Tick is called. Timeouts are noticed, and reports passed on, in
// between the heartbeats of a link.
inline constexpr std::chrono::milliseconds kHeartbeatTickInterval{ 100 };
// A link without a heartbeat for this time does not work.
inline constexpr std::chrono::milliseconds kHeartbeatTimeout{ 1'500 };

struct OutgoingHeartbeat
{
  std::string host;
  Endpoint to;
  std::string payload;
};

// The greatest configuration revision heard, and a host that has it in force.
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

  // Empty until a revision above 0 was heard from a reachable host.
  std::optional<ConfigurationHolder> NewestConfiguration() const;

  // At most PartnerRing::kMaxPartners.
  std::vector<std::string> Partners() const;

  // Approximate bytes held for members and links.
  std::size_t MemoryBytes() const;

private:
  struct Entry
  {
    std::uint64_t id = 0;
    HostDetails details;
    // Version 0 until the host spoke; without details.
    MemberRecord record;
    bool isListed = false;
    bool isListedLeaving = false;
    // The list has the same details, so that they need not be sent.
    bool isListedAsKnown = false;
    Instant unlistedSince;
    // Reports say that the host is unreachable.
    bool isReported = false;
    bool isUnheard = false;
    // Version of the record when isUnheard began. The host stays unheard until
    // it speaks with a later version.
    std::uint64_t unheardVersion = 0;
    Instant unheardSince;
    HostState state = HostState::Unreachable;
    Instant unreachableSince;
  };

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

  struct Link
  {
    bool isPartner = false;
    bool hasHeard = false;
    Instant lastHeard;
    // The peer's last heartbeat names this host as heard.
    bool isHeardByPeer = false;
    // Until then a new or resumed link is not reported.
    Instant graceUntil;
    bool isGood = false;
    bool isReported = false;
    // Until then this host asks the peer for records.
    Instant wantsRecordsUntil;
    bool doesPeerWantRecords = false;
    // Next index of entries_ to refresh.
    std::size_t refreshCursor = 0;
    // A report or a change of state waits: the next heartbeat goes early.
    bool isUrgent = false;
    Instant nextHeartbeat;
    Instant lastSent;
    // Hosts of which the peer sent a record without details.
    std::vector<std::uint32_t> unknown;
    // Latest change first.
    std::deque<PendingUpdate> pending;
  };

  Entry* FindEntry(std::uint64_t aId);
  const Entry* FindEntry(std::uint64_t aId) const;
  Entry& AddEntry(HostDetails aDetails);
  void RemoveEntries(const std::vector<std::uint64_t>& aIds);
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
  void ExpireEntries(Instant aNow);
  void Judge(Instant aNow);
  void SetState(Entry& aEntry, HostState aState, Instant aNow);

  void AddLink(std::uint64_t aPeer, bool aIsPartner);
  std::string Compose(std::uint64_t aPeer,
                      Link& aLink,
                      std::size_t aMaxBytes,
                      Instant aNow);
  static MemberRecord WireRecord(const Entry& aEntry, bool aWithDetails);

  const Clock& clock_;
  Random& random_;
  std::uint64_t selfId_;

  std::vector<Entry> entries_;
  std::unordered_map<std::uint64_t, std::uint32_t> indexes_;
  PartnerRing ring_;
  bool isRingStale_ = true;
  std::map<std::uint64_t, Link> links_;

  // Versions of removed hosts, so that a record that is still passed on by
  // others does not bring them back.
  struct Tombstone
  {
    std::uint64_t version = 0;
    Instant expiresAt;
  };
  std::unordered_map<std::uint64_t, Tombstone> tombstones_;

  std::size_t byteAllowance_ = kByteBurst;
  bool isLeaving_ = false;
  bool isIsolated_ = true;
  bool hasTicked_ = false;
  Instant lastTick_;
  // Hosts of the list that never spoke count as live until then.
  bool hasList_ = false;
  bool isPresuming_ = false;
  Instant presumeUntil_;
  bool isVerdictStale_ = true;
  bool isViewStale_ = true;
  std::shared_ptr<const MembershipView> view_;
};

} // namespace filbertbeam
