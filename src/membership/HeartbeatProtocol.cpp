#include "membership/HeartbeatProtocol.h"

#include "membership/ReachabilityEvaluator.h"
#include "membership/SealedMessage.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// A new link may not exist at the other end until both hosts have the same
// members; the first heartbeats also need two intervals to be confirmed.
constexpr std::chrono::milliseconds kLinkGrace{ 2'000 };

// Without a Tick for this time the process was paused, and the heartbeats that
// it received before say nothing about the current state of its partners.
constexpr std::chrono::milliseconds kPauseThreshold{ 1'500 };

// Hosts that are no partners in the local ring may send heartbeats, because
// their host list is older or newer. This host responds to them, so that their
// links work.
constexpr std::size_t kMaxNonPartnerLinks = 4;

// Above this number of members, a change of only the configuration revision is
// not forwarded but left to the refresh: 1,700 changes a day of 1,300 hosts,
// each sent 14 times, would take 15 KB/s.
constexpr std::size_t kMaxMembersForwardingRevisions = 256;

// Time to receive the records of all members. A single starting host receives
// about 9 records with each of 16 heartbeats/s; when all 1,300 hosts start at
// once, 99% of the records have arrived after 22 s.
constexpr std::chrono::milliseconds kRecordExchangeBase{ 2'000 };
constexpr std::chrono::milliseconds kRecordExchangePerMember{ 20 };

// A host that was unresponsive for this time stays so until it sends a newer
// record, even if its partners stop reporting it, as they do after they have
// removed it. Shorter intervals result from reports that arrive out of order,
// and end without a newer record.
constexpr std::chrono::seconds kUnresponsiveHoldTime{ 10 };

// Largest heartbeat in bytes, including its sealed header; it has room for 20
// updates.
constexpr std::size_t kMaxHeartbeatBytes = 1'200;

// Below this allowance, heartbeats carry only a few records that are not
// urgent, so that the records which a starting fleet exchanges do not use up
// the bytes for reports.
constexpr std::size_t kSpareAllowance = HeartbeatProtocol::kByteBurst * 2 / 3;
// Early heartbeats are sent only while this much of the allowance is left, so
// that enough remains for the regular ones.
constexpr std::size_t kUrgentReserve = HeartbeatProtocol::kByteBurst / 3;
// Minimum time between early heartbeats of one link. When many reports arrive
// within a short time, they share heartbeats instead of each taking one of its
// own.
constexpr std::chrono::milliseconds kUrgentGap{ 200 };
// One heartbeat takes at most the allowance divided by this.
constexpr std::size_t kAllowanceDivisor = 4;

} // namespace

HeartbeatProtocol::HeartbeatProtocol(const Member& aSelf,
                                     const Clock& aClock,
                                     Random& aRandom)
  : clock_(aClock)
  , random_(aRandom)
  , selfId_(HostId(aSelf.host))
  , composer_(members_, links_, selfId_)
{
  MemberEntry& self = AddMember(
    { aSelf.host, aSelf.region, aSelf.domain, aSelf.relay, aSelf.control });
  self.record.incarnation = aSelf.incarnation;
  while (self.record.incarnation == 0) {
    self.record.incarnation = random_.Next();
  }
  // Deriving the version from the wall time lets the versions of a restarted
  // host continue above those of its previous process. Where it does not,
  // because the clock was set back or the version rose faster,
  // MergeRecordOfSelf corrects it. In units of half a second a version takes 4
  // bytes less than in milliseconds.
  constexpr std::int64_t kVersionsPerSecond = 2;
  const auto sinceEpoch = std::chrono::duration_cast<std::chrono::seconds>(
    clock_.WallNow().time_since_epoch());
  self.record.version = static_cast<std::uint64_t>(
    std::max<std::int64_t>(sinceEpoch.count() * kVersionsPerSecond, 1));
  self.record.configurationRevision = aSelf.configurationRevision;
  self.state = HostState::Live;
}

std::uint64_t
HeartbeatProtocol::Incarnation() const
{
  return Self().record.incarnation;
}

MemberEntry&
HeartbeatProtocol::AddMember(HostDetails aDetails)
{
  OnMembersChanged();
  return members_.Add(std::move(aDetails), clock_.Now());
}

void
HeartbeatProtocol::OnMembersRemoved(std::span<const std::uint64_t> aIds)
{
  if (aIds.empty()) {
    return;
  }
  for (const std::uint64_t id : aIds) {
    links_.erase(id);
  }
  OnMembersChanged();
}

void
HeartbeatProtocol::OnMembersChanged()
{
  isRingStale_ = true;
  areStatesStale_ = true;
  isViewStale_ = true;
}

void
HeartbeatProtocol::SetListedHosts(std::span<const ListedHost> aHosts)
{
  const Instant now = clock_.Now();
  std::unordered_map<std::uint64_t, const ListedHost*> listed;
  for (const ListedHost& host : aHosts) {
    if (host.controlPort != 0 && !host.host.empty() &&
        host.host.size() <= HeartbeatCodec::kMaxNameBytes) {
      listed.emplace(HostId(host.host), &host);
    }
  }
  for (const auto& [id, host] : listed) {
    HostDetails details{ host->host,
                         host->region,
                         host->domain,
                         { host->address, host->relayPort },
                         { host->address, host->controlPort } };
    members_.RemoveTombstone(id);
    MemberEntry* entry = members_.Find(id);
    if (entry == nullptr) {
      entry = &AddMember(details);
    } else if (entry->record.version == 0 && entry->details != details) {
      // The host's own record is newer than the list.
      entry->details = details;
      isRingStale_ = true;
      isViewStale_ = true;
    }
    entry->isListed = true;
    entry->hasListedDetails = entry->details == details;
    if (entry->isListedLeaving != host->isLeaving) {
      entry->isListedLeaving = host->isLeaving;
      areStatesStale_ = true;
    }
  }

  std::vector<std::uint64_t> removed;
  for (MemberEntry& entry : members_.Entries()) {
    if (!entry.isListed || listed.contains(entry.id)) {
      continue;
    }
    entry.isListed = false;
    entry.hasListedDetails = false;
    entry.isListedLeaving = false;
    entry.unlistedSince = now;
    areStatesStale_ = true;
    if (entry.record.version == 0) {
      removed.push_back(entry.id);
    }
  }
  members_.Remove(removed);
  OnMembersRemoved(removed);

  if (!hasList_ && members_.Size() > 1) {
    hasList_ = true;
    isPresumingLive_ = true;
    presumeLiveUntil_ = now + RecordExchangeTime();
  }
  UpdateOwnLeaving();
}

void
HeartbeatProtocol::SetConfigurationRevision(std::uint64_t aRevision)
{
  MemberEntry& self = Self();
  if (self.record.configurationRevision != aRevision) {
    self.record.configurationRevision = aRevision;
    BumpOwnVersion(false);
  }
}

void
HeartbeatProtocol::StartLeaving()
{
  isLeaving_ = true;
  UpdateOwnLeaving();
}

void
HeartbeatProtocol::UpdateOwnLeaving()
{
  MemberEntry& self = Self();
  const bool isLeaving = isLeaving_ || self.isListedLeaving;
  if (self.record.isLeaving != isLeaving) {
    self.record.isLeaving = isLeaving;
    areStatesStale_ = true;
    BumpOwnVersion(true);
  }
}

void
HeartbeatProtocol::BumpOwnVersion(bool aIsUrgent)
{
  for (auto& [id, link] : links_) {
    link.isUrgent = link.isUrgent || aIsUrgent;
  }
  MemberRecord& record = Self().record;
  record.version = std::min(record.version + 1, HeartbeatCodec::kMaxVersion);
  isViewStale_ = true;
}

Duration
HeartbeatProtocol::RecordExchangeTime() const
{
  return kRecordExchangeBase +
         kRecordExchangePerMember * static_cast<std::int64_t>(members_.Size());
}

void
HeartbeatProtocol::UpdateRing()
{
  if (!isRingStale_) {
    return;
  }
  isRingStale_ = false;
  areStatesStale_ = true;
  std::vector<PartnerRing::RingMember> ringMembers;
  ringMembers.reserve(members_.Size());
  for (const MemberEntry& entry : members_.Entries()) {
    ringMembers.push_back(
      { entry.details.host, entry.details.region, entry.details.domain });
  }
  ring_ = PartnerRing(ringMembers);

  for (auto& [id, link] : links_) {
    link.isPartner = false;
  }
  for (const std::uint32_t index :
       ring_.PartnersOf(members_.IndexOf(selfId_))) {
    AddLink(members_.Entries()[index].id, true);
  }
}

void
HeartbeatProtocol::AddLink(std::uint64_t aPeer, bool aIsPartner)
{
  const auto [position, isNew] = links_.try_emplace(aPeer);
  HeartbeatLink& link = position->second;
  link.isPartner = aIsPartner;
  if (!isNew) {
    return;
  }
  const Instant now = clock_.Now();
  link.graceUntil = now + kLinkGrace;
  link.wantsRecordsUntil = now + RecordExchangeTime();
  link.refreshCursor = random_.Below(members_.Size());
  // Spreads the heartbeats of the links over the interval.
  link.nextHeartbeat =
    now + Duration(static_cast<std::int64_t>(random_.Below(
            static_cast<std::uint64_t>(Duration(kHeartbeatInterval).count()))));
}

void
HeartbeatProtocol::MergeRecordOfSelf(const MemberRecord& aRecord)
{
  MemberRecord& own = Self().record;
  // A leaving process does not compete with the process that replaces it.
  if (own.isLeaving || aRecord.version < own.version || aRecord == own) {
    return;
  }
  // A record of an earlier process, whose clock was ahead, would otherwise
  // override the records of all later ones.
  own.version = aRecord.version;
  BumpOwnVersion(true);
}

void
HeartbeatProtocol::MergeRecord(const MemberRecord& aRecord, std::uint64_t aFrom)
{
  if (aRecord.id == selfId_) {
    MemberRecord record = aRecord;
    record.details.reset();
    MergeRecordOfSelf(record);
    return;
  }
  if (members_.IsFromRemovedHost(aRecord)) {
    return;
  }
  MemberEntry* entry = members_.Find(aRecord.id);
  if (entry == nullptr) {
    if (!aRecord.details) {
      const auto link = links_.find(aFrom);
      if (link != links_.end() && link->second.detailRequests.size() <
                                    HeartbeatCodec::kMaxDetailRequests) {
        link->second.detailRequests.push_back(ShortId(aRecord.id));
      }
      return;
    }
    entry = &AddMember(*aRecord.details);
  }
  if (entry->details.host.empty() ||
      (aRecord.details && aRecord.details->host != entry->details.host)) {
    return;
  }
  MemberRecord& known = entry->record;
  const auto sender = links_.find(aFrom);
  if (sender != links_.end() && aRecord.version >= known.version) {
    // The sender already has this record.
    sender->second.RemovePending(aRecord.id);
  }
  if (aRecord.version <= known.version) {
    // A host that sends an old version gets the newest record about itself, so
    // that it can exceed its version.
    if (aFrom == aRecord.id && aRecord.version < known.version &&
        sender != links_.end()) {
      sender->second.pending.push_front({ aRecord.id, true, false });
    }
    return;
  }

  const std::uint32_t ownShortId = ShortId(selfId_);
  const auto reportsSelf = [&](const MemberRecord& aEach) {
    return std::find(aEach.disconnectedPartners.begin(),
                     aEach.disconnectedPartners.end(),
                     ownShortId) != aEach.disconnectedPartners.end();
  };
  if (reportsSelf(aRecord) && !reportsSelf(known)) {
    BumpOwnVersion(true);
  }

  const bool isRevisionOnly =
    aRecord.incarnation == known.incarnation &&
    aRecord.isLeaving == known.isLeaving &&
    aRecord.disconnectedPartners == known.disconnectedPartners &&
    aRecord.configurationRevision != known.configurationRevision;
  if (aRecord.details && *aRecord.details != entry->details) {
    entry->details = *aRecord.details;
    entry->hasListedDetails = false;
    isRingStale_ = true;
  }
  const bool isFirst = known.version == 0;
  known = aRecord;
  known.details.reset();
  areStatesStale_ = true;
  isViewStale_ = true;
  if (!isRevisionOnly || members_.Size() <= kMaxMembersForwardingRevisions) {
    Forward(aRecord.id, aFrom, !isFirst && !isRevisionOnly);
  }
}

void
HeartbeatProtocol::Forward(std::uint64_t aId,
                           std::uint64_t aExcept,
                           bool aIsUrgent)
{
  for (auto& [peer, link] : links_) {
    if (peer == aExcept || peer == aId) {
      continue;
    }
    link.RemovePending(aId);
    // The latest change comes first: while many hosts start, a new report must
    // not wait for their records.
    link.pending.push_front({ aId, aIsUrgent, false });
    link.isUrgent = link.isUrgent || aIsUrgent;
  }
}

bool
HeartbeatProtocol::OnHeartbeat(const ControlSender& aSender, ByteView aPayload)
{
  const auto heartbeat = HeartbeatCodec::Decode(aPayload);
  if (!heartbeat || heartbeat->sender.id != HostId(aSender.host) ||
      heartbeat->sender.incarnation != aSender.incarnation ||
      heartbeat->sender.id == selfId_) {
    return false;
  }
  const Instant now = clock_.Now();
  const std::uint64_t peer = heartbeat->sender.id;
  MergeRecord(heartbeat->sender, peer);
  UpdateRing();
  if (members_.Find(peer) == nullptr) {
    // The address of the sender is not known. Its next heartbeat contains the
    // details, because this one is not confirmed.
    return true;
  }

  auto found = links_.find(peer);
  if (found == links_.end()) {
    const auto nonPartnerLinks =
      std::count_if(links_.begin(), links_.end(), [](const auto& aEach) {
        return !aEach.second.isPartner;
      });
    if (static_cast<std::size_t>(nonPartnerLinks) >= kMaxNonPartnerLinks) {
      return true;
    }
    AddLink(peer, false);
    found = links_.find(peer);
  }
  HeartbeatLink& link = found->second;
  link.hasReceived = true;
  link.lastReceived = now;
  link.isReceivedByPeer =
    std::find(heartbeat->receivedFrom.begin(),
              heartbeat->receivedFrom.end(),
              ShortId(selfId_)) != heartbeat->receivedFrom.end();
  if (heartbeat->wantsRecords && !link.doesPeerWantRecords) {
    // Each partner of the peer starts at another index, so that together they
    // send every record once.
    const auto partners = ring_.PartnersOf(members_.IndexOf(peer));
    const auto position =
      std::find(partners.begin(), partners.end(), members_.IndexOf(selfId_));
    if (position != partners.end()) {
      link.refreshCursor =
        members_.Size() *
        static_cast<std::size_t>(position - partners.begin()) / partners.size();
    }
  }
  link.doesPeerWantRecords = heartbeat->wantsRecords;

  for (const std::uint32_t requestedId : heartbeat->detailRequests) {
    for (const MemberEntry& entry : members_.Entries()) {
      if (ShortId(entry.id) == requestedId && entry.id != peer) {
        link.pending.push_front({ entry.id, true, true });
      }
    }
  }
  for (const MemberRecord& record : heartbeat->updates) {
    MergeRecord(record, peer);
  }
  return true;
}

void
HeartbeatProtocol::ResumeAfterPause(Instant aNow)
{
  for (auto& [id, link] : links_) {
    link.hasReceived = false;
    link.isReceivedByPeer = false;
    link.graceUntil = aNow + kLinkGrace;
    link.wantsRecordsUntil = aNow + RecordExchangeTime();
  }
  // Other hosts may have marked this host as unresponsive in the meantime.
  BumpOwnVersion(true);
}

void
HeartbeatProtocol::UpdateLinks(Instant aNow)
{
  std::vector<std::uint32_t> disconnected;
  bool hasRecovered = false;
  for (auto entry = links_.begin(); entry != links_.end();) {
    HeartbeatLink& link = entry->second;
    const bool isReceiving = link.IsReceiving(aNow);
    if (!link.isPartner && !isReceiving) {
      entry = links_.erase(entry);
      continue;
    }
    const bool wasWorking = link.isWorking;
    link.isWorking = isReceiving && link.isReceivedByPeer;
    hasRecovered = hasRecovered || (link.isWorking && !wasWorking);
    const bool isReported =
      link.isPartner && !link.isWorking && aNow >= link.graceUntil;
    if (link.isReported && !isReported) {
      // The records that were sent while the link was down did not arrive over
      // it.
      link.wantsRecordsUntil = aNow + RecordExchangeTime();
    }
    link.isReported = isReported;
    if (isReported) {
      disconnected.push_back(ShortId(entry->first));
    }
    ++entry;
  }
  std::sort(disconnected.begin(), disconnected.end());
  MemberRecord& own = Self().record;
  if (own.disconnectedPartners != disconnected) {
    own.disconnectedPartners = std::move(disconnected);
    areStatesStale_ = true;
    BumpOwnVersion(true);
  } else if (hasRecovered) {
    // A newer version ends the unresponsive state that resulted from reports of
    // the other end.
    BumpOwnVersion(true);
  }
}

void
HeartbeatProtocol::SetState(MemberEntry& aEntry, HostState aState, Instant aNow)
{
  if (aEntry.state == aState) {
    return;
  }
  aEntry.state = aState;
  if (aState == HostState::Unreachable) {
    aEntry.unreachableSince = aNow;
  }
  isViewStale_ = true;
}

void
HeartbeatProtocol::UpdateIsolation()
{
  // Partners that other hosts report are no evidence about this host. Partners
  // that nobody reports are: a host that receives nothing at all receives no
  // reports either.
  int counted = 0;
  int working = 0;
  for (const auto& [id, link] : links_) {
    if (link.isPartner && !members_.Find(id)->isReported) {
      ++counted;
      working += link.isWorking ? 1 : 0;
    }
  }
  const bool isIsolated = working * 2 < counted;
  if (isIsolated_ != isIsolated) {
    isIsolated_ = isIsolated;
    areStatesStale_ = true;
    isViewStale_ = true;
  }
}

void
HeartbeatProtocol::ApplyReports(Instant aNow)
{
  const auto entries = members_.Entries();
  const std::uint32_t selfIndex = members_.IndexOf(selfId_);
  ReachabilityEvaluator evaluator(ring_, selfIndex);
  for (std::uint32_t i = 0; i < entries.size(); ++i) {
    const auto& disconnected = entries[i].record.disconnectedPartners;
    if (disconnected.empty()) {
      continue;
    }
    for (const std::uint32_t partner : ring_.PartnersOf(i)) {
      if (std::find(disconnected.begin(),
                    disconnected.end(),
                    ShortId(entries[partner].id)) != disconnected.end()) {
        evaluator.ReportLink(i, partner);
      }
    }
  }
  const std::vector<Reachability> results = evaluator.Evaluate();
  for (std::uint32_t i = 0; i < entries.size(); ++i) {
    if (i == selfIndex) {
      continue;
    }
    MemberEntry& entry = entries[i];
    if (results[i] == Reachability::Unresponsive) {
      if (!entry.isUnresponsive) {
        entry.isUnresponsive = true;
        entry.unresponsiveVersion = entry.record.version;
        entry.unresponsiveSince = aNow;
      }
    } else if (entry.record.version > entry.unresponsiveVersion ||
               aNow - entry.unresponsiveSince <
                 Duration(kUnresponsiveHoldTime)) {
      entry.isUnresponsive = false;
    }
    entry.isReported =
      results[i] != Reachability::Reachable || entry.isUnresponsive;
  }
}

void
HeartbeatProtocol::UpdateStates(Instant aNow)
{
  ApplyReports(aNow);
  UpdateIsolation();
  // A host that never sent a record owns nothing. But a process that just
  // started, or that is isolated, cannot tell which hosts did.
  const bool isPresumingLive = isPresumingLive_ || isIsolated_;
  for (MemberEntry& entry : members_.Entries()) {
    const bool isLeaving = entry.record.isLeaving || entry.isListedLeaving;
    const bool hasRecord = entry.record.version > 0;
    if (entry.id != selfId_ &&
        (entry.isReported || !(hasRecord || isPresumingLive))) {
      SetState(entry, HostState::Unreachable, aNow);
    } else {
      SetState(entry, isLeaving ? HostState::Leaving : HostState::Live, aNow);
    }
  }
  areStatesStale_ = false;
}

std::vector<OutgoingHeartbeat>
HeartbeatProtocol::Tick()
{
  const Instant now = clock_.Now();
  if (hasTicked_ && now - lastTick_ > Duration(kPauseThreshold)) {
    ResumeAfterPause(now);
  }
  hasTicked_ = true;
  lastTick_ = now;

  UpdateRing();
  UpdateLinks(now);
  UpdateIsolation();
  if (isPresumingLive_ && now >= presumeLiveUntil_) {
    isPresumingLive_ = false;
    areStatesStale_ = true;
  }
  if (areStatesStale_) {
    UpdateStates(now);
  }
  OnMembersRemoved(members_.Expire(selfId_, now));
  UpdateRing();

  byteAllowance_ = std::min(byteAllowance_ + kBytesPerTick, kByteBurst);
  const std::size_t sealedBytes =
    kMaxSealedOverhead + Self().details.host.size();
  std::vector<OutgoingHeartbeat> heartbeats;
  for (auto& [id, link] : links_) {
    const bool isEarly = link.isUrgent && byteAllowance_ >= kUrgentReserve &&
                         now - link.lastSent >= Duration(kUrgentGap);
    if (now < link.nextHeartbeat && !isEarly) {
      continue;
    }
    link.isUrgent = false;
    link.lastSent = now;
    // Adding the interval to the scheduled time keeps it exact on average,
    // although Tick runs at times of its own.
    link.nextHeartbeat =
      isEarly || now - link.nextHeartbeat > Duration(kHeartbeatTickInterval)
        ? now + kHeartbeatInterval
        : link.nextHeartbeat + kHeartbeatInterval;
    const std::size_t maxBytes =
      std::min(byteAllowance_ / kAllowanceDivisor, kMaxHeartbeatBytes);
    std::string payload =
      composer_.Compose(id,
                        maxBytes - std::min(maxBytes, sealedBytes),
                        byteAllowance_ >= kSpareAllowance,
                        now);
    byteAllowance_ -= std::min(byteAllowance_, payload.size() + sealedBytes);
    const HostDetails& peer = members_.Find(id)->details;
    heartbeats.push_back({ peer.host, peer.control, std::move(payload) });
  }
  return heartbeats;
}

std::shared_ptr<const MembershipView>
HeartbeatProtocol::View()
{
  UpdateRing();
  if (areStatesStale_) {
    UpdateStates(clock_.Now());
  }
  if (view_ != nullptr && !isViewStale_) {
    return view_;
  }
  isViewStale_ = false;
  std::vector<Member> members;
  members.reserve(members_.Size());
  for (const MemberEntry& entry : members_.Entries()) {
    members.push_back({ entry.details.host,
                        entry.details.region,
                        entry.details.domain,
                        entry.record.incarnation,
                        entry.state,
                        entry.details.relay,
                        entry.details.control,
                        entry.record.configurationRevision });
  }
  view_ = MembershipView::Create(
    Self().details.host, std::move(members), isIsolated_);
  return view_;
}

std::optional<ConfigurationHolder>
HeartbeatProtocol::NewestConfiguration() const
{
  const MemberEntry* newest = nullptr;
  bool isNewestDirect = false;
  for (const MemberEntry& entry : members_.Entries()) {
    const std::uint64_t revision = entry.record.configurationRevision;
    if (entry.id == selfId_ || revision == 0 ||
        entry.state == HostState::Unreachable) {
      continue;
    }
    // A partner with a working link is the most reliable source.
    const auto link = links_.find(entry.id);
    const bool isDirect = link != links_.end() && link->second.isWorking;
    if (newest == nullptr || revision > newest->record.configurationRevision ||
        (revision == newest->record.configurationRevision && isDirect &&
         !isNewestDirect)) {
      newest = &entry;
      isNewestDirect = isDirect;
    }
  }
  if (newest == nullptr) {
    return std::nullopt;
  }
  return ConfigurationHolder{ newest->record.configurationRevision,
                              newest->details.host,
                              newest->details.relay };
}

std::vector<std::string>
HeartbeatProtocol::Partners() const
{
  std::vector<std::string> partners;
  for (const auto& [id, link] : links_) {
    if (link.isPartner) {
      partners.push_back(members_.Find(id)->details.host);
    }
  }
  return partners;
}

std::size_t
HeartbeatProtocol::MemoryBytes() const
{
  std::size_t bytes = members_.MemoryBytes() +
                      ring_.MemberCount() * (PartnerRing::kMaxPartners + 1) *
                        sizeof(std::uint32_t);
  for (const auto& [id, link] : links_) {
    bytes +=
      sizeof(HeartbeatLink) + link.pending.size() * sizeof(PendingUpdate);
  }
  return bytes;
}

} // namespace filbertbeam
