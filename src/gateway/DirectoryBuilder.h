#pragma once

#include "catalog/CatalogFollower.h"
#include "directory/BackendDirectory.h"
#include "gateway/CatalogCodec.h"
#include "gateway/KnownDepartures.h"

namespace filbertbeam {

// Builds directories of backend servers from catalog objects. Decodes an object
// only when its version has changed.
class DirectoryBuilder
{
public:
  DirectoryBuilder(const CatalogCodec& aCodec, const Clock& aClock);

  std::shared_ptr<const BackendDirectory> Build(
    const CatalogFollower::Objects& aObjects);

  // The catalog was restored from an older copy. Servers that have left, or
  // stated that they leave, remain draining for kDepartureRetention although
  // the copy shows them as ready; Build has to be called again after that.
  void OnCatalogRestored();
  KnownDepartures& Departures() { return departures_; }
  const KnownDepartures& Departures() const { return departures_; }
  // Number of servers that the last directory has as draining against the
  // catalog's word.
  std::size_t KeptDepartures() const { return departures_.KeptCount(); }

private:
  struct Decoded
  {
    CatalogVersion objectVersion;
    std::uint64_t writeNumber = 0;
    // Empty when the object does not describe a backend server.
    std::optional<BackendServerRecord> record;
  };

  // Forgets the objects that are no longer there.
  void DropMissing(const CatalogFollower::Objects& aObjects);
  // Returns the record as it applies, with what is known of the server's
  // departure.
  BackendServerRecord Effective(const Decoded& aDecoded);
  static ServerWrite WriteOf(const Decoded& aDecoded);
  const Decoded& Decode(const CatalogObject& aObject);

  const CatalogCodec& codec_;
  const Clock& clock_;
  std::map<std::string, Decoded, std::less<>> decoded_;
  KnownDepartures departures_;
  std::uint64_t revision_ = 0;
};

} // namespace filbertbeam
