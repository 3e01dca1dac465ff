#include "catalog/CatalogFollower.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// A watch returns almost at once as long as it is not known whether the catalog
// responds, as after a failure or when a peer has been followed, and after a
// stale list. If that call is lost, it would otherwise hide changes for the
// whole wait.
constexpr milliseconds kShortWatchWait{ 10 };
// The delay after the first failure. It doubles with each further one and is
// randomised, so that hosts that failed together do not retry together.
constexpr milliseconds kFirstRetryDelay{ 100 };
constexpr milliseconds kMaxRetryDelay{ 800 };
// By then, a list that a peer's newer version caused has completed or timed
// out.
constexpr milliseconds kCatchUpInterval{ 1'200 };

} // namespace

CatalogFollower::CatalogFollower(ObjectCatalog& aCatalog,
                                 const CatalogFollowerSettings& aSettings,
                                 const Clock& aClock,
                                 Random& aRandom,
                                 ChangeHandler aOnChange)
  : catalog_(aCatalog)
  , settings_(aSettings)
  , clock_(aClock)
  , random_(aRandom)
  , onChange_(std::move(aOnChange))
  , lastResponseAt_(aClock.Now())
  , missing_({ aSettings.name,
               aSettings.missingObjectRetention,
               aSettings.shortestOutage },
             aClock,
             [this] { DropMissingObjects(); })
  , outdatedWrites_(aSettings.name, aSettings.writeOrder, aClock, [this] {
    ApplyExpiredWrites();
  })
{
  callTimer_.setSingleShot(true);
  callTimer_.setTimerType(Qt::PreciseTimer);
  callTimer_.callOnTimeout([this] {
    if (!version_.IsKnown()) {
      List({});
    } else {
      WatchIfNeeded();
    }
  });
}

void
CatalogFollower::Start()
{
  List({});
}

void
CatalogFollower::List(const std::string& aAfter)
{
  if (aAfter.empty()) {
    listing_.clear();
    listingVersion_ = {};
    isListingStale_ = false;
  }
  callTimer_.stop();
  catalog_.List(settings_.collection,
                aAfter,
                FreshnessOfNextList(),
                [this, call = ++latestCall_](CatalogPage aPage) {
                  if (call == latestCall_) {
                    OnPage(std::move(aPage));
                  }
                });
}

ListFreshness
CatalogFollower::FreshnessOfNextList() const
{
  return isComplete_ || needsNewestList_ ? ListFreshness::Newest
                                         : ListFreshness::MayBeStale;
}

void
CatalogFollower::Import(CatalogCopy aCopy)
{
  // The newest change does not tell which copy is newer: a copy that began with
  // a list may lack an object whose removal it cannot tell.
  const CatalogVersion peerUpTo = std::max(aCopy.version, aCopy.newestChange);
  if (peerUpTo <= CopiedUpTo()) {
    if (isCopyStale_) {
      // The stale list is at least as new as the peer's copy.
      OnRecentChangesRead();
    }
    if (isComplete_) {
      return;
    }
  }
  LogEvent(LogLevel::Info,
           "catalog_adopted_from_peer",
           { { "collection", settings_.name },
             { "objects", aCopy.objects.size() },
             { "version", FormatCatalogVersion(CopiedUpTo()) },
             { "peer", FormatCatalogVersion(peerUpTo) } });
  ReplaceObjects(std::move(aCopy.objects), peerUpTo);
  isCopyStale_ = false;
  history_.Reset(peerUpTo);
  peerVersion_ = std::max(peerVersion_, peerUpTo);
  newestChange_ = std::max(newestChange_, aCopy.newestChange);
  version_ = std::max(version_, aCopy.version);
  isComplete_ = true;
  Notify();
}

CatalogCopy
CatalogFollower::Copy() const
{
  CatalogCopy copy{ objects_,
                    newestChange_,
                    version_.IsKnown() ? version_ : versionBeforeList_ };
  for (const auto& [name, missing] : missing_.Kept()) {
    copy.objects.erase(name);
  }
  return copy;
}

void
CatalogFollower::SetFollowsPeer(bool aFollowsPeer)
{
  if (followsPeer_ == aFollowsPeer) {
    return;
  }
  followsPeer_ = aFollowsPeer;
  LogEvent(LogLevel::Info,
           followsPeer_ ? "catalog_peer_followed" : "catalog_watched",
           { { "collection", settings_.name },
             { "version", FormatCatalogVersion(version_) } });
  if (followsPeer_) {
    // The peer can reach the catalog.
    OnRecovered();
    return;
  }
  hasResponded_ = false;
  if (version_.IsKnown()) {
    // An earlier watch may be waiting on a connection that has broken in the
    // meantime.
    Watch();
  }
}

void
CatalogFollower::SetWatchWait(milliseconds aWait)
{
  if (aWait < std::exchange(watchWait_, aWait)) {
    WatchAgain();
  }
}

void
CatalogFollower::WatchAgain()
{
  if (!IsWatching() || isCopyStale_ || callTimer_.isActive()) {
    return;
  }
  Watch(kShortWatchWait);
}

void
CatalogFollower::ApplyPeerChanges(const CatalogChanges& aChanges)
{
  // Without a complete list there is no version to which the changes could be
  // applied.
  if (!version_.IsKnown()) {
    return;
  }
  peerVersion_ = std::max(peerVersion_, aChanges.version);
  Apply(aChanges);
}

CatalogProgress
CatalogFollower::Progress() const
{
  return { newestChange_, version_, history_.Begin() };
}

const CatalogVersion&
CatalogFollower::CopiedUpTo() const
{
  return std::max(version_, std::max(newestChange_, listedVersion_));
}

bool
CatalogFollower::IsCoveredBy(const CatalogProgress& aPeer) const
{
  return aPeer.historyBegin <= version_;
}

void
CatalogFollower::OnPeerProgress(const CatalogProgress& aPeer)
{
  // When no change is missing here, the copy is as new as the peer's.
  if (version_.IsKnown() && IsCoveredBy(aPeer) && HasRead(aPeer.newestChange)) {
    version_ = std::max(version_, aPeer.version);
  }
}

void
CatalogFollower::OnCatalogRestored(std::uint64_t aGeneration,
                                   milliseconds aDelay)
{
  if (version_.generation >= aGeneration && version_.IsKnown()) {
    return;
  }
  missing_.OnCatalogRestored();
  if (version_.IsKnown()) {
    versionBeforeList_ = std::exchange(version_, {});
  }
  ++latestCall_;
  callTimer_.start(aDelay);
}

void
CatalogFollower::ReadAgain(std::string_view aReason)
{
  LogEvent(LogLevel::Info,
           "catalog_history_gone",
           { { "collection", settings_.name },
             { "version", FormatCatalogVersion(version_) },
             { "reason", aReason } });
  if (version_.IsKnown()) {
    versionBeforeList_ = std::exchange(version_, {});
  }
  List({});
}

CatalogChanges
CatalogFollower::ChangesAfter(const CatalogVersion& aVersion) const
{
  CatalogChanges changes;
  changes.version = version_;
  auto events = history_.After(aVersion);
  if (events && version_.IsKnown()) {
    changes.events = std::move(*events);
  } else {
    changes.failure = { CatalogError::HistoryExpired, "too far behind" };
  }
  return changes;
}

bool
CatalogFollower::HasRead(const CatalogVersion& aVersion) const
{
  return aVersion <= CopiedUpTo();
}

void
CatalogFollower::CatchUp(const CatalogVersion& aVersion)
{
  const Instant now = clock_.Now();
  if (HasRead(aVersion) || !version_.IsKnown() ||
      now - caughtUpAt_ < kCatchUpInterval) {
    return;
  }
  LogEvent(LogLevel::Info,
           "catalog_behind_peer",
           { { "collection", settings_.name },
             { "newest_change", FormatCatalogVersion(newestChange_) },
             { "peer", FormatCatalogVersion(aVersion) } });
  caughtUpAt_ = now;
  List({});
}

void
CatalogFollower::OnCatalogUnresponsive(const CatalogFailure& aFailure)
{
  if (!IsWatching()) {
    return;
  }
  // The response to the waiting watch is ignored from here on.
  ++latestCall_;
  CheckResponse(aFailure);
}

void
CatalogFollower::OnPage(CatalogPage aPage)
{
  if (!CheckResponse(aPage.failure)) {
    return;
  }
  // Other pages may be newer, and of a stale list also older. A watch from the
  // version of the oldest page reports changes that some pages already
  // contain, which is harmless.
  listingVersion_ = !listingVersion_.IsKnown()
                      ? aPage.version
                      : std::min(listingVersion_, aPage.version);
  isListingStale_ = isListingStale_ || aPage.mayBeStale;
  std::string last;
  for (CatalogObject& object : aPage.objects) {
    last = object.name;
    listing_.insert_or_assign(object.name, std::move(object));
  }
  if (aPage.hasMore && !last.empty()) {
    List(last);
    return;
  }
  CompleteList();
}

void
CatalogFollower::CompleteList()
{
  if (listingVersion_ < peerVersion_) {
    // Changes received from a peer in the meantime are newer than the list.
    listing_.clear();
    if (!version_.IsKnown()) {
      List({});
    } else {
      WatchIfNeeded();
    }
    return;
  }
  RecordListing();
  version_ = listingVersion_;
  version_.revision = std::max<std::uint64_t>(version_.revision, 1);
  listedVersion_ = listingVersion_;
  ReplaceObjects(std::exchange(listing_, {}), listingVersion_);
  isCopyStale_ = isListingStale_;
  if (!isCopyStale_) {
    isComplete_ = true;
    Notify();
  }
  WatchIfNeeded();
}

void
CatalogFollower::ReplaceObjects(Objects aObjects,
                                const CatalogVersion& aVersion)
{
  if (missing_.IsRecovering()) {
    for (const auto& [name, object] : objects_) {
      if (!aObjects.contains(name)) {
        missing_.Keep(object, aVersion, followsPeer_);
      }
    }
  }
  for (auto& [name, object] : aObjects) {
    object = Resolve(object);
    missing_.Forget(name);
  }
  for (const auto& [name, object] : objects_) {
    if (!aObjects.contains(name)) {
      outdatedWrites_.Forget(name);
    }
  }
  objects_ = std::move(aObjects);
  for (const auto& [name, missing] : missing_.Kept()) {
    objects_.emplace(name, missing.object);
  }
}

void
CatalogFollower::RecordListing()
{
  const bool isNewGeneration =
    CopiedUpTo().IsKnown() &&
    CopiedUpTo().generation < listingVersion_.generation;
  if (isNewGeneration) {
    // Peers have to notice it also if the collection has no object.
    newestChange_ = { listingVersion_.generation, 1 };
  }
  if (isNewGeneration || (!version_.IsKnown() && !isComplete_)) {
    history_.Reset(listingVersion_);
  } else {
    RecordDifferences();
  }
  // A later page may contain newer changes than an earlier one, which may lack
  // changes that came before them.
  for (const auto& [name, object] : listing_) {
    newestChange_ =
      std::max(newestChange_, std::min(object.version, listingVersion_));
  }
}

void
CatalogFollower::RecordDifferences()
{
  for (const auto& [name, object] : objects_) {
    if (!listing_.contains(name) && !missing_.Kept().contains(name)) {
      CatalogEvent event{ object, true };
      event.object.version = listingVersion_;
      history_.Add(event);
      newestChange_ = std::max(newestChange_, listingVersion_);
    }
  }
  for (const auto& [name, object] : listing_) {
    const auto existing = objects_.find(name);
    if (existing == objects_.end() ||
        existing->second.version < object.version) {
      history_.Add({ object, false });
    }
  }
}

void
CatalogFollower::WatchIfNeeded()
{
  if (!followsPeer_ || isCopyStale_) {
    Watch();
  }
}

void
CatalogFollower::OnRecentChangesRead()
{
  isCopyStale_ = false;
  isComplete_ = true;
  Notify();
}

void
CatalogFollower::Watch()
{
  Watch(HasResponded() && !isCopyStale_ ? watchWait_ : kShortWatchWait);
}

void
CatalogFollower::Watch(milliseconds aWait)
{
  catalog_.Watch(settings_.collection,
                 version_,
                 aWait,
                 [this, call = ++latestCall_](const CatalogChanges& aChanges) {
                   if (call == latestCall_) {
                     OnChanges(aChanges);
                   }
                 });
}

void
CatalogFollower::OnChanges(const CatalogChanges& aChanges)
{
  if (followsPeer_ && !isCopyStale_ &&
      aChanges.failure.error != CatalogError::None) {
    LogEvent(LogLevel::Debug,
             "catalog_watch_ended",
             { { "collection", settings_.name },
               { "reason", aChanges.failure.reason } });
    return;
  }
  if (aChanges.failure.error == CatalogError::HistoryExpired) {
    lastResponseAt_ = clock_.Now();
    needsNewestList_ = isCopyStale_;
    ReadAgain(aChanges.failure.reason);
    return;
  }
  if (!CheckResponse(aChanges.failure)) {
    return;
  }
  Apply(aChanges);
  callTimer_.start(aChanges.events.empty() ? milliseconds(0)
                                           : settings_.coalescingDelay);
}

void
CatalogFollower::Apply(const CatalogChanges& aChanges)
{
  const CatalogVersion readUpTo = version_;
  version_ = std::max(version_, aChanges.version);
  bool isChanged = false;
  for (const CatalogEvent& event : aChanges.events) {
    // The changes of the catalog and those of a peer may arrive in any order.
    // An older one would restore an object that has been removed since.
    if (event.object.version > readUpTo) {
      isChanged = Apply(event) || isChanged;
    }
  }
  if (isCopyStale_) {
    OnRecentChangesRead();
  } else if (isChanged) {
    Notify();
  }
}

bool
CatalogFollower::Apply(const CatalogEvent& aEvent)
{
  const std::string& name = aEvent.object.name;
  history_.Add(aEvent);
  newestChange_ = std::max(newestChange_, aEvent.object.version);
  const auto existing = objects_.find(name);
  if (existing != objects_.end() &&
      existing->second.version > aEvent.object.version) {
    return false;
  }
  if (aEvent.isDeleted) {
    Remove(aEvent.object);
  } else {
    missing_.Forget(name);
    objects_.insert_or_assign(name, Resolve(aEvent.object));
  }
  return true;
}

CatalogObject
CatalogFollower::Resolve(const CatalogObject& aRead)
{
  const auto known = objects_.find(aRead.name);
  return outdatedWrites_.Resolve(
    known == objects_.end() ? nullptr : &known->second, aRead);
}

void
CatalogFollower::ApplyExpiredWrites()
{
  for (const auto& [name, object] : outdatedWrites_.TakeExpired()) {
    objects_.insert_or_assign(name, object);
  }
  Notify();
}

void
CatalogFollower::Remove(const CatalogObject& aRemoved)
{
  const auto existing = objects_.find(aRemoved.name);
  if (existing == objects_.end()) {
    return;
  }
  const auto missing = missing_.Kept().find(aRemoved.name);
  const bool isMissing = missing != missing_.Kept().end();
  if (!isMissing && missing_.IsRecovering()) {
    missing_.Keep(existing->second, aRemoved.version, followsPeer_);
    return;
  }
  if (isMissing && aRemoved.version <= missing->second.removalVersion) {
    return;
  }
  missing_.Forget(aRemoved.name);
  outdatedWrites_.Forget(aRemoved.name);
  objects_.erase(existing);
}

void
CatalogFollower::OnRecovered()
{
  OnCatalogResponds();
  if (failures_ == 0) {
    return;
  }
  LogEvent(
    LogLevel::Info,
    "catalog_regained",
    { { "collection", settings_.name },
      { "failures", failures_ },
      { "away_ms", std::chrono::duration_cast<milliseconds>(Age()).count() } });
  failures_ = 0;
}

bool
CatalogFollower::CheckResponse(const CatalogFailure& aFailure)
{
  if (aFailure.error == CatalogError::None) {
    OnRecovered();
    hasResponded_ = true;
    lastResponseAt_ = clock_.Now();
    respondedAt_ = lastResponseAt_;
    return true;
  }
  if (failures_ == 0) {
    LogEvent(LogLevel::Warning,
             "catalog_lost",
             { { "collection", settings_.name },
               { "version", FormatCatalogVersion(version_) },
               { "reason", aFailure.reason } });
  }
  missing_.OnFailure();
  const int doublings = std::min(failures_, 6);
  ++failures_;
  const milliseconds longest =
    std::min(kFirstRetryDelay * (1 << doublings), kMaxRetryDelay);
  callTimer_.start(
    milliseconds(longest.count() / 2 +
                 static_cast<std::int64_t>(random_.Below(
                   static_cast<std::uint64_t>(longest.count() / 2 + 1)))));
  return false;
}

void
CatalogFollower::DropMissingObjects()
{
  for (const auto& [name, missing] : missing_.TakeExpired()) {
    outdatedWrites_.Forget(name);
    objects_.erase(name);
  }
  Notify();
}

void
CatalogFollower::Notify()
{
  onChange_(objects_);
}

} // namespace filbertbeam
