#pragma once

#include "base/Clock.h"
#include "catalog/CatalogVersion.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// What orders the states that a backend server writes about itself.
struct ServerWrite
{
  // Start of the run, in Unix milliseconds.
  std::int64_t startedAt = 0;
  // Increases with each write of a run.
  std::uint64_t number = 0;
  CatalogVersion version;
};

// A server that has left, or stated that it leaves, in the run of the write.
struct KnownDeparture
{
  std::string server;
  ServerWrite write;
};

// Remembers which backend servers have left or stated that they leave. When the
// catalog is restored from an older copy, or executes an earlier write of them
// late, it may show them as ready. They count as leaving until they write
// again, and for kDepartureRetention at most.
class KnownDepartures
{
public:
  // The server stated that it leaves.
  void OnDraining(const std::string& aServer,
                  const ServerWrite& aWrite,
                  Instant aNow);
  // The entry of the server was removed, or a later run has replaced it; aWrite
  // is the last one that was read.
  void OnRemoved(const std::string& aServer,
                 const ServerWrite& aWrite,
                 Instant aNow);
  void OnCatalogRestored(Instant aNow);

  // Returns true if a server that the catalog shows as ready, by aWrite, is
  // known to have left in that run or a later one. Otherwise the catalog's word
  // counts and a departure in that run is forgotten.
  bool HasDeparted(const std::string& aServer,
                   const ServerWrite& aWrite,
                   Instant aNow);
  // Forgets departures that no copy can precede. Has to be called from time to
  // time.
  void Prune(Instant aNow);

  // Returns all departures while they count against the catalog's word.
  std::vector<KnownDeparture> Export(Instant aNow) const;
  // For how long departures count against the catalog's word.
  Duration Remaining(Instant aNow) const;
  // Adds departures that a peer knows, which count for aRemaining.
  void Import(std::span<const KnownDeparture> aDepartures,
              Duration aRemaining,
              Instant aNow);

  // Number of departures that are kept against the catalog's word.
  std::size_t KeptCount() const;

private:
  struct Departure
  {
    ServerWrite write;
    Instant at;
    // The catalog has shown the server as ready since it was restored.
    bool isKept = false;
  };

  bool IsRestoring(Instant aNow) const;
  static bool IsLater(const ServerWrite& aWrite, const ServerWrite& aKnown);
  // True for an earlier write that the catalog shows later, without a restore.
  static bool IsOutdated(const ServerWrite& aWrite, const ServerWrite& aKnown);
  static void EndKept(const std::string& aServer,
                      Departure& aDeparture,
                      std::string_view aReason);
  void Forget(const std::string& aServer, std::string_view aReason);

  // By the name of the server.
  std::map<std::string, Departure> departures_;
  std::optional<Instant> restoredAt_;
};

// Longer than a catalog keeps the entry of a server that no longer writes, so
// that an entry which is still there is one of a server that lives.
inline constexpr std::chrono::seconds kDepartureRetention{ 30 };

} // namespace filbertbeam
