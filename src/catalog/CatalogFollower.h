#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "catalog/ChangeHistory.h"
#include "catalog/MissingObjects.h"
#include "catalog/ObjectCatalog.h"
#include "catalog/OutdatedWrites.h"

#include <QTimer>

#include <functional>
#include <map>

namespace filbertbeam {

// A watch costs one call however long it waits, so it waits as long as is
// allowed, unless its host has to notice sooner that its response was lost.
inline constexpr std::chrono::milliseconds kLongestWatchWait{ 25'000 };

struct CatalogFollowerSettings
{
  Collection collection = Collection::Configuration;
  // The name of the collection in logs.
  std::string_view name;
  // The delay after a change before the next watch starts, so that a series of
  // changes costs one call. It adds to the age of the copy.
  std::chrono::milliseconds coalescingDelay{ 0 };
  // How long after the end of an outage removed objects are kept, so that their
  // writers have time to write them again.
  std::chrono::milliseconds missingObjectRetention{ 0 };
  // Objects of live writers do not expire in outages that are noticed for a
  // shorter time than this.
  std::chrono::milliseconds shortestOutage{ 0 };
  // Orders the writes of each object; null if the catalog's order counts. Has
  // to outlive the follower.
  const WriteOrder* writeOrder = nullptr;
};

// The copy that a host has of a collection.
struct CatalogCopy
{
  std::map<std::string, CatalogObject, std::less<>> objects;
  // The version of the newest change that was read, deletions included.
  CatalogVersion newestChange;
  // The copy contains all changes up to this version; unknown if that is not
  // certain.
  CatalogVersion version;
};

// How far a host has read a collection, as it reports that to its peers.
struct CatalogProgress
{
  // The version of the newest change that was read.
  CatalogVersion newestChange;
  // All changes up to this version have been read; unknown if that is not
  // certain.
  CatalogVersion version;
  // The host knows each change after this version. Of earlier ones it knows
  // only the objects that were left: a list does not show what was removed.
  CatalogVersion historyBegin;
};

// Keeps a copy of one collection: lists it, then watches it, and lists it again
// when the history has expired. The first list may be stale; it is used once
// the changes since its version have been read. Keeps its copy while the
// catalog is unavailable. Instead of watching the catalog itself it can receive
// the changes that a peer has read.
class CatalogFollower
{
public:
  using Objects = decltype(CatalogCopy::objects);
  // Is called after each change of the copy.
  using ChangeHandler = std::function<void(const Objects&)>;

  CatalogFollower(ObjectCatalog& aCatalog,
                  const CatalogFollowerSettings& aSettings,
                  const Clock& aClock,
                  Random& aRandom,
                  ChangeHandler aOnChange);
  CatalogFollower(const CatalogFollower&) = delete;
  CatalogFollower& operator=(const CatalogFollower&) = delete;

  void Start();

  // Lists the collection again at once since a peer has read a newer change,
  // with aVersion; a watch that waits on a broken connection would report it
  // late. Does nothing when that change has been read or is being read.
  void CatchUp(const CatalogVersion& aVersion);

  // True while a watch waits for its response, however long that takes.
  bool IsWatching() const
  {
    return IsReachable() && version_.IsKnown() && !followsPeer_;
  }
  // The catalog has not responded to another call of this host. The response to
  // a watch that waits may have been lost as well, so it is started again.
  void OnCatalogUnresponsive(const CatalogFailure& aFailure);
  // The catalog responds to a peer, as the peer has reported.
  void OnCatalogResponds() { missing_.OnCatalogResponds(); }
  // From now on, watches wait no longer than aWait for a change. One that has
  // been started with a longer wait is started again.
  void SetWatchWait(std::chrono::milliseconds aWait);
  // Starts a waiting watch again, as its response may never come; the first one
  // returns almost at once.
  void WatchAgain();
  // While a peer is followed, no watch is started: the caller passes what the
  // peer has read to ApplyPeerChanges. Otherwise a watch starts at once.
  void SetFollowsPeer(bool aFollowsPeer);
  // Applies the changes after Version() that a peer has read.
  void ApplyPeerChanges(const CatalogChanges& aChanges);
  // Advances Version() to that of a peer if this host has read all changes
  // that the peer has read.
  void OnPeerProgress(const CatalogProgress& aPeer);
  // True when a peer knows each change that this host has not read. Otherwise
  // its newest change does not show whether this host lacks one.
  bool IsCoveredBy(const CatalogProgress& aPeer) const;
  // The catalog was restored from an older copy and is now in aGeneration. The
  // whole collection is listed after aDelay, unless the copy of a peer in that
  // generation is imported before. Responses to earlier calls are ignored.
  void OnCatalogRestored(std::uint64_t aGeneration,
                         std::chrono::milliseconds aDelay);
  // Lists the whole collection again; aReason is logged.
  void ReadAgain(std::string_view aReason);
  // Returns the changes after aVersion that this host has read, or
  // HistoryExpired when it no longer has all of them.
  CatalogChanges ChangesAfter(const CatalogVersion& aVersion) const;

  // Imports the copy of a peer when it is newer than this one or when nothing
  // has been read yet. The next list of the catalog replaces it; none is needed
  // if the version of the copy is known.
  void Import(CatalogCopy aCopy);
  // Returns what is in the catalog, without the removed objects that this host
  // keeps after an outage.
  CatalogCopy Copy() const;

  // The objects as the change handler received them last.
  const Objects& Current() const { return objects_; }
  // The version of the newest change that was read.
  const CatalogVersion& NewestChange() const { return newestChange_; }
  CatalogProgress Progress() const;
  // Number of objects of which the catalog shows an outdated write.
  std::size_t OutdatedObjects() const { return outdatedWrites_.KeptCount(); }
  // True when the copy contains the change of aVersion.
  bool HasRead(const CatalogVersion& aVersion) const;

  // True once the whole collection has been read.
  bool IsComplete() const { return isComplete_; }
  bool IsReachable() const { return failures_ == 0; }
  // True when the catalog has responded since this host last began to watch it
  // itself, and to its latest call.
  bool HasResponded() const { return IsReachable() && hasResponded_; }
  // All changes up to this version have been read; unknown before the first
  // list, and from a restore of the catalog until the next one.
  const CatalogVersion& Version() const { return version_; }
  // True while a list has been sent and not been completed.
  bool IsListing() const
  {
    return !version_.IsKnown() && !callTimer_.isActive();
  }
  // The time since the last response of the catalog, or since the start.
  Duration Age() const { return clock_.Now() - lastResponseAt_; }
  // When the catalog last returned data; empty before the first time.
  const std::optional<Instant>& RespondedAt() const { return respondedAt_; }

private:
  // The response to a call is ignored once a newer call has been sent.
  void List(const std::string& aAfter);
  // All changes up to the returned version are part of the copy.
  const CatalogVersion& CopiedUpTo() const;
  // A stale list is only read while there is no copy that it could set back.
  ListFreshness FreshnessOfNextList() const;
  void OnPage(CatalogPage aPage);
  void CompleteList();
  // Notes the changes found by a list, which is complete.
  void RecordListing();
  // Adds the differences between the copy and the list to the history.
  void RecordDifferences();
  // Replaces the copy with the objects of aVersion, except for removed objects
  // that may return.
  void ReplaceObjects(Objects aObjects, const CatalogVersion& aVersion);
  // Watches the catalog, unless a peer is followed and the copy is not stale.
  void WatchIfNeeded();
  void Watch();
  void Watch(std::chrono::milliseconds aWait);
  // Completes a copy that was read by a stale list.
  void OnRecentChangesRead();
  void OnChanges(const CatalogChanges& aChanges);
  // Applies those of the changes to the copy that have not been read yet, and
  // completes a copy that was read by a stale list.
  void Apply(const CatalogChanges& aChanges);
  // Returns true when the change has changed the copy.
  bool Apply(const CatalogEvent& aEvent);
  // Applies a removal that was read with the version of aRemoved.
  void Remove(const CatalogObject& aRemoved);
  // After a failure, schedules a retry and returns false.
  bool CheckResponse(const CatalogFailure& aFailure);
  void OnRecovered();
  void DropMissingObjects();
  // Returns aRead as it applies, given the object as it applied before.
  CatalogObject Resolve(const CatalogObject& aRead);
  void ApplyExpiredWrites();
  void Notify();

  ObjectCatalog& catalog_;
  const CatalogFollowerSettings settings_;
  const Clock& clock_;
  Random& random_;
  ChangeHandler onChange_;
  Objects objects_;
  Objects listing_;
  ChangeHistory history_;
  bool followsPeer_ = false;
  std::chrono::milliseconds watchWait_ = kLongestWatchWait;
  // The newest version that was received from a peer.
  CatalogVersion peerVersion_;
  CatalogVersion listingVersion_;
  bool isListingStale_ = false;
  // The copy lacks changes since version_ that the catalog may have had when
  // it was listed; nobody has received it yet.
  bool isCopyStale_ = false;
  // The catalog no longer had the changes since a stale list.
  bool needsNewestList_ = false;
  // Unknown while the collection has to be listed.
  CatalogVersion version_;
  // What version_ was before the collection had to be listed again.
  CatalogVersion versionBeforeList_;
  CatalogVersion newestChange_;
  // The last complete list contains all changes up to this version.
  CatalogVersion listedVersion_;
  // When CatchUp last listed the collection.
  Instant caughtUpAt_;
  std::uint64_t latestCall_ = 0;
  bool isComplete_ = false;
  int failures_ = 0;
  bool hasResponded_ = false;
  Instant lastResponseAt_;
  std::optional<Instant> respondedAt_;
  // These objects are also part of the copy.
  MissingObjects missing_;
  OutdatedWrites outdatedWrites_;
  QTimer callTimer_;
};

} // namespace filbertbeam
