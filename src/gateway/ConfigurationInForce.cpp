#include "gateway/ConfigurationInForce.h"

#include "base/Log.h"

#include <utility>

namespace filbertbeam {

bool
ConfigurationInForce::Apply(const CatalogObject& aObject)
{
  std::string reason;
  const auto table = codec_.ReadConfiguration(aObject, reason);
  if (!table) {
    if (aObject.version > refusedVersion_) {
      refusedVersion_ = aObject.version;
      LogEvent(LogLevel::Error,
               "configuration_rejected",
               { { "document", aObject.name },
                 { "catalog_version", FormatCatalogVersion(aObject.version) },
                 { "in_force", Version() },
                 { "reason", reason } });
    }
    return false;
  }
  LogIfKept(*table);
  if (routing_ && table->Version() <= routing_->Version()) {
    return false;
  }
  routing_ = table;
  object_ = aObject;
  LogEvent(
    LogLevel::Info,
    "configuration_in_force",
    { { "version", table->Version() },
      { "catalog_version", FormatCatalogVersion(aObject.version) },
      { "routes", table->Routes().size() },
      { "workspaces",
        table->Contracts() ? table->Contracts()->Contracts().size() : 0 } });
  return true;
}

void
ConfigurationInForce::LogIfKept(const RoutingTable& aShown)
{
  const bool isKept = routing_ && aShown.Version() < routing_->Version();
  if (isKept == std::exchange(isKept_, isKept)) {
    return;
  }
  LogEvent(LogLevel::Info,
           isKept ? "configuration_kept" : "configuration_kept_ended",
           { { "in_force", Version() }, { "catalog", aShown.Version() } });
}

std::optional<CatalogObject>
ConfigurationInForce::ObjectUnlike(const CatalogFollower::Objects& aShown) const
{
  const auto shown = aShown.find(object_.name);
  if (shown != aShown.end() && shown->second.content == object_.content) {
    return std::nullopt;
  }
  return object_;
}

} // namespace filbertbeam
