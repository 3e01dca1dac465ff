#pragma once

#include "base/Clock.h"
#include "catalog/ObjectCatalog.h"

#include <QTimer>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

struct MissingObjectsSettings
{
  // The name of the collection in logs.
  std::string_view collection;
  // How long after the end of an outage removed objects are kept, so that their
  // writers have time to write them again.
  std::chrono::milliseconds retention{ 0 };
  // Objects of live writers do not expire in outages that are noticed for a
  // shorter time than this.
  std::chrono::milliseconds shortestOutage{ 0 };
};

// The removed objects of a collection that a host keeps for some time after an
// outage of the catalog: they may have expired only because their writers could
// not reach it.
class MissingObjects
{
public:
  struct MissingObject
  {
    // The object as it was last read.
    CatalogObject object;
    // The version of the change or list that showed the removal.
    CatalogVersion removalVersion;
  };
  using Objects = std::map<std::string, MissingObject, std::less<>>;

  // aOnExpired is called when the objects are kept no longer; TakeExpired then
  // returns them.
  MissingObjects(const MissingObjectsSettings& aSettings,
                 const Clock& aClock,
                 std::function<void()> aOnExpired);

  // A call of this host failed.
  void OnFailure();
  // The catalog responds, to this host or, as a peer has reported, to the peer.
  void OnCatalogResponds();
  // The catalog was restored from an older copy, which counts as the end of an
  // outage: live writers write again what the copy lacks.
  void OnCatalogRestored();
  // True shortly after an outage: objects that are removed now are to be kept.
  bool IsRecovering() const;

  const Objects& Kept() const { return kept_; }
  // Keeps aObject until this host no longer recovers from an outage.
  void Keep(const CatalogObject& aObject,
            const CatalogVersion& aRemoval,
            bool aFollowsPeer);
  void Forget(const std::string& aName) { kept_.erase(aName); }
  Objects TakeExpired();

private:
  void OnTimeout();

  const MissingObjectsSettings settings_;
  const Clock& clock_;
  const std::function<void()> onExpired_;
  // Since when this host's calls fail and no peer reports that the catalog
  // responds; empty while it responds.
  std::optional<Instant> outageSince_;
  // When the last outage ended; empty when there was none.
  std::optional<Instant> recoveredAt_;
  // By name.
  Objects kept_;
  QTimer timer_;
};

} // namespace filbertbeam
