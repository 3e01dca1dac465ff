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
  // For logs.
  std::string_view name;
  // A watch is asked again only after this time, so that a series of changes
  // costs one call. It adds to the age of what is known.
  std::chrono::milliseconds coalescingDelay{ 0 };
  // Objects that are missing in the first list after an outage stay for this
  // time, since their writers need it to write them again.
  std::chrono::milliseconds missingObjectRetention{ 0 };
};

// What a host has read of a collection.
struct CatalogCopy
{
  std::map<std::string, CatalogObject, std::less<>> objects;
  // Revision of the newest change that was read, deletions included.
  std::uint64_t newestChange = 0;
  // Names of objects that the catalog no longer holds and that are kept for a
  // while, since their writers may write them again.
  std::set<std::string, std::less<>> mayReturn = {};
};

// Keeps a copy of one collection: lists it, then watches it, and lists again
// when the history is gone. Goes on with what it has while the catalog is away.
// In place of its own watch it can follow that of a peer.
class CatalogFollower
{
public:
  using Objects = decltype(CatalogCopy::objects);
  // Called after each change of the copy.
  using ChangeHandler = std::function<void(const Objects&)>;

  CatalogFollower(ObjectCatalog& aCatalog,
                  const CatalogFollowerSettings& aSettings,
                  const Clock& aClock,
                  Random& aRandom,
                  ChangeHandler aOnChange);
  CatalogFollower(const CatalogFollower&) = delete;
  CatalogFollower& operator=(const CatalogFollower&) = delete;

  void Start();

  // Reads the collection again at once, for a peer knows a newer change; a
  // watch that waits on a broken connection would bring it late. Does nothing
  // when the change of aRevision was read, or while it is being read.
  void CatchUp(std::uint64_t aRevision);

  // While a peer is followed, no watch is begun: the caller brings what the
  // peer has read with ApplyPeerChanges. Otherwise a watch begins at once.
  void SetFollowsPeer(bool aFollowsPeer);
  // The changes after Revision that a peer has read.
  void ApplyPeerChanges(const CatalogChanges& aChanges);
  // A peer has read up to aRevision, and aNewest is the newest change there.
  void OnPeerRevision(std::uint64_t aNewest, std::uint64_t aRevision);
  // Reads the whole collection again; aReason is for the log.
  void ReadAgain(std::string_view aReason);
  // The changes after aRevision that this host has read; HistoryExpired when it
  // does not know all of them.
  CatalogChanges ChangesAfter(std::uint64_t aRevision) const;

  // Takes what a peer has read, where that is newer than this copy or nothing
  // was read yet. The catalog replaces it as soon as it answers.
  void Import(CatalogCopy aCopy);
  CatalogCopy Copy() const;

  // Revision of the newest change that was read.
  std::uint64_t NewestChange() const { return newestChange_; }
  // True when the copy shows the change of aRevision.
  bool HasRead(std::uint64_t aRevision) const;

  // True once the whole collection was read.
  bool IsComplete() const { return isComplete_; }
  bool IsReachable() const { return failures_ == 0; }
  // All changes up to here were read; 0 before the first list.
  std::uint64_t Revision() const { return revision_; }
  // Time since the last answer of the catalog, or since the start.
  Duration Age() const { return clock_.Now() - lastResponseAt_; }

private:
  struct MissingObject
  {
    // Its last form.
    CatalogObject object;
    Instant dropAt;
  };

  // A call's answer counts only as long as no newer call replaces it.
  void List(const std::string& aAfter);
  void OnPage(CatalogPage aPage);
  void CompleteList();
  // Takes what the list shows into the history. With aMayReturn, the writers
  // of what is missing may write it again.
  void RecordListing(bool aMayReturn);
  // Begins a watch unless a peer is followed.
  void Continue();
  void Watch();
  void OnChanges(const CatalogChanges& aChanges);
  // Takes the changes into the copy; true when it is another one then.
  bool Apply(const std::vector<CatalogEvent>& aEvents);
  // True when an object that is missing now may only have lapsed while the
  // catalog was away.
  bool IsRecovering() const;
  // Returns false after a failure, which it has handled.
  bool CheckResponse(const CatalogFailure& aFailure);
  void OnRecovered();
  // Keeps aObject until its return time is over, which began when it was first
  // found missing.
  void KeepMissing(const CatalogObject& aObject);
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
  // The newest state that was taken from a peer.
  std::uint64_t peerRevision_ = 0;
  std::uint64_t listingRevision_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t newestChange_ = 0;
  // The last complete list shows all changes up to this revision.
  std::uint64_t listedRevision_ = 0;
  // When CatchUp last read the collection.
  Instant caughtUpAt_;
  std::uint64_t latestCall_ = 0;
  bool isComplete_ = false;
  // Whether the catalog was away since the last complete list.
  bool wasUnavailable_ = false;
  int failures_ = 0;
  Instant lastResponseAt_;
  // The first answer after the last outage.
  Instant recoveredAt_;
  // Objects whose writers may still write them again.
  std::map<std::string, MissingObject, std::less<>> missing_;
  QTimer callTimer_;
  QTimer missingTimer_;
};

} // namespace filbertbeam
