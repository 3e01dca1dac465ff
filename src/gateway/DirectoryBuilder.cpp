#include "gateway/DirectoryBuilder.h"

#include "base/Log.h"

namespace filbertbeam {

DirectoryBuilder::DirectoryBuilder(const CatalogCodec& aCodec,
                                   const Clock& aClock)
  : codec_(aCodec)
  , clock_(aClock)
{
}

void
DirectoryBuilder::OnCatalogRestored()
{
  departures_.OnCatalogRestored(clock_.Now());
}

ServerWrite
DirectoryBuilder::WriteOf(const Decoded& aDecoded)
{
  return { aDecoded.record->startedAt,
           aDecoded.writeNumber,
           aDecoded.objectVersion };
}

void
DirectoryBuilder::DropMissing(const CatalogFollower::Objects& aObjects)
{
  for (auto entry = decoded_.begin(); entry != decoded_.end();) {
    if (aObjects.contains(entry->first)) {
      ++entry;
      continue;
    }
    if (entry->second.record) {
      LogEvent(LogLevel::Info,
               "backend_server_gone",
               { { "server", entry->first },
                 { "service", entry->second.record->service } });
      departures_.OnRemoved(entry->first, WriteOf(entry->second), clock_.Now());
    }
    entry = decoded_.erase(entry);
  }
}

BackendServerRecord
DirectoryBuilder::Effective(const Decoded& aDecoded)
{
  BackendServerRecord record = *aDecoded.record;
  const Instant now = clock_.Now();
  if (record.isDraining) {
    departures_.OnDraining(record.id, WriteOf(aDecoded), now);
  } else {
    record.isDraining =
      departures_.HasDeparted(record.id, WriteOf(aDecoded), now);
  }
  return record;
}

std::shared_ptr<const BackendDirectory>
DirectoryBuilder::Build(const CatalogFollower::Objects& aObjects)
{
  departures_.Prune(clock_.Now());
  DropMissing(aObjects);
  std::vector<BackendServerRecord> records;
  for (const auto& [name, object] : aObjects) {
    if (const Decoded& decoded = Decode(object); decoded.record) {
      records.push_back(Effective(decoded));
    }
  }
  return std::make_shared<BackendDirectory>(++revision_, std::move(records));
}

const DirectoryBuilder::Decoded&
DirectoryBuilder::Decode(const CatalogObject& aObject)
{
  const auto [entry, isNew] = decoded_.try_emplace(aObject.name);
  Decoded& decoded = entry->second;
  if (!isNew && decoded.objectVersion == aObject.version) {
    return decoded;
  }
  const bool wasDraining = decoded.record && decoded.record->isDraining;
  const std::optional<ServerWrite> last =
    decoded.record ? std::optional(WriteOf(decoded)) : std::nullopt;
  decoded.objectVersion = aObject.version;
  decoded.writeNumber = codec_.ReadStamp(aObject).number;
  std::string reason;
  decoded.record = codec_.ReadBackendServer(aObject, clock_.Now(), reason);
  if (last && decoded.record && decoded.record->startedAt > last->startedAt) {
    departures_.OnRemoved(aObject.name, *last, clock_.Now());
  }
  if (!decoded.record) {
    LogEvent(LogLevel::Warning,
             "backend_server_entry_ignored",
             { { "entry", aObject.name },
               { "version", FormatCatalogVersion(aObject.version) },
               { "reason", reason } });
  } else if (isNew) {
    LogEvent(LogLevel::Debug,
             "backend_server_found",
             { { "server", aObject.name },
               { "service", decoded.record->service },
               { "domain", decoded.record->domain } });
  } else if (decoded.record->isDraining && !wasDraining) {
    LogEvent(LogLevel::Info,
             "backend_server_draining",
             { { "server", aObject.name },
               { "service", decoded.record->service },
               { "version", FormatCatalogVersion(aObject.version) } });
  }
  return decoded;
}

} // namespace filbertbeam
