#include "gateway/KnownDepartures.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

// A copy from which the catalog is restored is some seconds old.
constexpr std::chrono::minutes kMemory{ 5 };

} // namespace

bool
KnownDepartures::IsRestoring(Instant aNow) const
{
  return restoredAt_ && aNow - *restoredAt_ < kDepartureRetention;
}

void
KnownDepartures::OnDraining(const std::string& aServer,
                            const ServerWrite& aWrite,
                            Instant aNow)
{
  const auto [known, isNew] =
    departures_.try_emplace(aServer, Departure{ aWrite, aNow });
  if (isNew) {
    return;
  }
  EndKept(aServer, known->second, "stated again");
  if (IsLater(aWrite, known->second.write)) {
    known->second = { aWrite, aNow };
  }
}

void
KnownDepartures::OnRemoved(const std::string& aServer,
                           const ServerWrite& aWrite,
                           Instant aNow)
{
  const auto known = departures_.find(aServer);
  if (known == departures_.end()) {
    departures_.emplace(aServer, Departure{ aWrite, aNow });
  } else if (known->second.isKept) {
    // The removed entry was older than what is known, which stays known: the
    // catalog may be restored once more.
    EndKept(aServer, known->second, "entry removed");
  } else if (IsLater(aWrite, known->second.write)) {
    known->second = { aWrite, aNow };
  }
}

void
KnownDepartures::OnCatalogRestored(Instant aNow)
{
  restoredAt_ = aNow;
}

bool
KnownDepartures::IsOutdated(const ServerWrite& aWrite,
                            const ServerWrite& aKnown)
{
  if (aWrite.version.generation != aKnown.version.generation) {
    return false;
  }
  if (aWrite.startedAt != aKnown.startedAt) {
    return aWrite.startedAt != 0 && aWrite.startedAt < aKnown.startedAt;
  }
  return aWrite.startedAt != 0 && aWrite.number != 0 &&
         aWrite.number < aKnown.number;
}

bool
KnownDepartures::IsLater(const ServerWrite& aWrite, const ServerWrite& aKnown)
{
  if (IsOutdated(aWrite, aKnown)) {
    return false;
  }
  if (aWrite.startedAt != aKnown.startedAt) {
    return aWrite.startedAt > aKnown.startedAt;
  }
  if (aWrite.version.generation == aKnown.version.generation) {
    return aWrite.version > aKnown.version;
  }
  // Writes that change nothing but their number get no revision, and hosts are
  // not told of them. A copy therefore may have a higher number than the one
  // that was read last, at the same revision.
  return aWrite.number > aKnown.number &&
         aWrite.version.revision != aKnown.version.revision;
}

bool
KnownDepartures::HasDeparted(const std::string& aServer,
                             const ServerWrite& aWrite,
                             Instant aNow)
{
  const auto known = departures_.find(aServer);
  if (known == departures_.end()) {
    return false;
  }
  if (aWrite.startedAt > known->second.write.startedAt) {
    // The earlier run stays known: a copy may show it.
    EndKept(aServer, known->second, "started again");
    return false;
  }
  if (IsLater(aWrite, known->second.write)) {
    Forget(aServer, "written again");
    return false;
  }
  const bool mayBeLate = IsOutdated(aWrite, known->second.write) &&
                         aNow - known->second.at < kDepartureRetention;
  if (!mayBeLate && !IsRestoring(aNow)) {
    Forget(aServer, "time passed");
    return false;
  }
  if (!known->second.isKept) {
    known->second.isKept = true;
    LogEvent(LogLevel::Info,
             "backend_server_departure_kept",
             { { "server", aServer },
               { "known", FormatCatalogVersion(known->second.write.version) },
               { "known_write", known->second.write.number },
               { "catalog", FormatCatalogVersion(aWrite.version) },
               { "catalog_write", aWrite.number } });
  }
  return true;
}

void
KnownDepartures::EndKept(const std::string& aServer,
                         Departure& aDeparture,
                         std::string_view aReason)
{
  if (std::exchange(aDeparture.isKept, false)) {
    LogEvent(LogLevel::Info,
             "backend_server_departure_ended",
             { { "server", aServer }, { "reason", aReason } });
  }
}

void
KnownDepartures::Forget(const std::string& aServer, std::string_view aReason)
{
  const auto known = departures_.find(aServer);
  EndKept(aServer, known->second, aReason);
  departures_.erase(known);
}

void
KnownDepartures::Prune(Instant aNow)
{
  std::erase_if(departures_, [aNow](const auto& aItem) {
    return !aItem.second.isKept && aNow - aItem.second.at > kMemory;
  });
}

Duration
KnownDepartures::Remaining(Instant aNow) const
{
  return IsRestoring(aNow) ? *restoredAt_ + kDepartureRetention - aNow
                           : Duration(0);
}

std::vector<KnownDeparture>
KnownDepartures::Export(Instant aNow) const
{
  std::vector<KnownDeparture> departures;
  if (IsRestoring(aNow)) {
    for (const auto& [server, departure] : departures_) {
      departures.push_back({ server, departure.write });
    }
  }
  return departures;
}

void
KnownDepartures::Import(std::span<const KnownDeparture> aDepartures,
                        Duration aRemaining,
                        Instant aNow)
{
  if (aRemaining > Remaining(aNow)) {
    restoredAt_ = aNow + aRemaining - kDepartureRetention;
  }
  for (const KnownDeparture& each : aDepartures) {
    departures_.try_emplace(each.server, Departure{ each.write, aNow });
  }
}

std::size_t
KnownDepartures::KeptCount() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    departures_, [](const auto& aItem) { return aItem.second.isKept; }));
}

} // namespace filbertbeam
