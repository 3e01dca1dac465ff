#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "catalog/ChangeHistory.h"
#include "catalog/ObjectCatalog.h"

#include <QTimer>

#include <functional>
#include <map>
#include <set>

namespace filbertbeam {

struct CatalogFollowerSettings
{
  Collection collection = Collection::Configuration;
  // The name of the collection in logs.
  std::string_view name;
  // The delay after a change before the next watch starts, so that a series of
  // changes costs one call. It adds to the age of the copy.
  std::chrono::milliseconds coalescingDelay{ 0 };
  // How long objects that are missing in the first list after an outage are
  // kept, so that their writers have time to write them again.
  std::chrono::milliseconds missingObjectRetention{ 0 };
};

// The copy that a host has of a collection.
struct CatalogCopy
{
  std::map<std::string, CatalogObject, std::less<>> objects;
  // The revision of the newest change that was read, deletions included.
  std::uint64_t newestChange = 0;
  // The names of objects that are no longer in the catalog and are kept for a
  // limited time, since their writers may write them again.
  std::set<std::string, std::less<>> mayReturn = {};
};

// Keeps a copy of one collection: lists it, then watches it, and lists it again
// when the history has expired. Keeps its copy while the catalog is
// unavailable. Instead of watching the catalog itself it can receive the
// changes that a peer has read.
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
  // with aRevision; a watch that waits on a broken connection would report it
  // late. Does nothing when that change has been read or is being read.
  void CatchUp(std::uint64_t aRevision);

  // While a peer is followed, no watch is started: the caller passes what the
  // peer has read to ApplyPeerChanges. Otherwise a watch starts at once.
  void SetFollowsPeer(bool aFollowsPeer);
  // Applies the changes after Revision() that a peer has read.
  void ApplyPeerChanges(const CatalogChanges& aChanges);
  // Advances Revision() to aRevision, up to which a peer has read all changes,
  // if this host has read aNewest, the newest of them.
  void OnPeerRevision(std::uint64_t aNewest, std::uint64_t aRevision);
  // Lists the whole collection again; aReason is logged.
  void ReadAgain(std::string_view aReason);
  // Returns the changes after aRevision that this host has read, or
  // HistoryExpired when it no longer has all of them.
  CatalogChanges ChangesAfter(std::uint64_t aRevision) const;

  // Imports the copy of a peer when it is newer than this one or when nothing
  // has been read yet. The next list of the catalog replaces it.
  void Import(CatalogCopy aCopy);
  CatalogCopy Copy() const;

  // The revision of the newest change that was read.
  std::uint64_t NewestChange() const { return newestChange_; }
  // True when the copy contains the change of aRevision.
  bool HasRead(std::uint64_t aRevision) const;

  // True once the whole collection has been read.
  bool IsComplete() const { return isComplete_; }
  bool IsReachable() const { return failures_ == 0; }
  // All changes up to this revision have been read; 0 before the first list.
  std::uint64_t Revision() const { return revision_; }
  // The time since the last response of the catalog, or since the start.
  Duration Age() const { return clock_.Now() - lastResponseAt_; }

private:
  struct MissingObject
  {
    // The object as it was last read.
    CatalogObject object;
    Instant dropAt;
  };

  // The response to a call is ignored once a newer call has been sent.
  void List(const std::string& aAfter);
  void OnPage(CatalogPage aPage);
  void CompleteList();
  // Adds the changes found by a list to the history. With aMayReturn, missing
  // objects are recorded as ones that their writers may write again.
  void RecordListing(bool aMayReturn);
  void WatchUnlessFollowingPeer();
  void Watch();
  void OnChanges(const CatalogChanges& aChanges);
  // Applies the changes to the copy; returns true when that changed it.
  bool Apply(const std::vector<CatalogEvent>& aEvents);
  // True shortly after an outage, when an object may be missing only because it
  // expired while its writer could not reach the catalog.
  bool IsRecovering() const;
  // After a failure, schedules a retry and returns false.
  bool CheckResponse(const CatalogFailure& aFailure);
  void OnRecovered();
  // Keeps aObject until the retention time has passed since it was first found
  // missing. aSource is logged: where the removal was read.
  void KeepMissing(const CatalogObject& aObject, std::string_view aSource);
  void ScheduleDrop();
  void DropExpiredObjects();
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
  // The newest revision that was received from a peer.
  std::uint64_t peerRevision_ = 0;
  std::uint64_t listingRevision_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t newestChange_ = 0;
  // The last complete list contains all changes up to this revision.
  std::uint64_t listedRevision_ = 0;
  // When CatchUp last listed the collection.
  Instant caughtUpAt_;
  std::uint64_t latestCall_ = 0;
  bool isComplete_ = false;
  // Whether the catalog was unavailable since the last complete list.
  bool wasUnavailable_ = false;
  int failures_ = 0;
  Instant lastResponseAt_;
  // When the first response after the last outage was received.
  Instant recoveredAt_;
  // Missing objects that their writers may still write again.
  std::map<std::string, MissingObject, std::less<>> missing_;
  QTimer callTimer_;
  QTimer missingTimer_;
};

} // namespace filbertbeam
