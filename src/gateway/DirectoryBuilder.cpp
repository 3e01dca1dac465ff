#include "gateway/DirectoryBuilder.h"

#include "base/Log.h"

namespace filbertbeam {

DirectoryBuilder::DirectoryBuilder(const CatalogCodec& aCodec,
                                   const Clock& aClock)
  : codec_(aCodec)
  , clock_(aClock)
{
}

std::shared_ptr<const BackendDirectory>
DirectoryBuilder::Build(const CatalogFollower::Objects& aObjects)
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
    }
    entry = decoded_.erase(entry);
  }
  std::vector<BackendServerRecord> records;
  for (const auto& [name, object] : aObjects) {
    if (const Decoded& decoded = Decode(object); decoded.record) {
      records.push_back(*decoded.record);
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
  decoded.objectVersion = aObject.version;
  std::string reason;
  decoded.record = codec_.ReadBackendServer(aObject, clock_.Now(), reason);
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
