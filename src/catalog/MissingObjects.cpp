#include "catalog/MissingObjects.h"

#include "base/Log.h"

#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

} // namespace

MissingObjects::MissingObjects(const MissingObjectsSettings& aSettings,
                               const Clock& aClock,
                               std::function<void()> aOnExpired)
  : settings_(aSettings)
  , clock_(aClock)
  , onExpired_(std::move(aOnExpired))
{
  timer_.setSingleShot(true);
  timer_.callOnTimeout([this] { OnTimeout(); });
}

void
MissingObjects::OnFailure()
{
  if (!outageSince_) {
    outageSince_ = clock_.Now();
  }
}

void
MissingObjects::OnCatalogResponds()
{
  const auto since = std::exchange(outageSince_, std::nullopt);
  if (!since) {
    return;
  }
  // When a peer was served in the meantime, only this host was cut off. The
  // catalog accepted changes, so that a removal is one by its writer.
  const Duration outage = clock_.Now() - *since;
  if (outage < settings_.shortestOutage) {
    return;
  }
  recoveredAt_ = clock_.Now();
  LogEvent(LogLevel::Info,
           "catalog_outage_ended",
           { { "collection", settings_.collection },
             { "ms", ToMilliseconds(outage) } });
}

void
MissingObjects::OnCatalogRestored()
{
  outageSince_.reset();
  recoveredAt_ = clock_.Now();
}

bool
MissingObjects::IsRecovering() const
{
  return recoveredAt_ && clock_.Now() - *recoveredAt_ < settings_.retention;
}

void
MissingObjects::Keep(const CatalogObject& aObject,
                     const CatalogVersion& aRemoval,
                     bool aFollowsPeer)
{
  const Duration sinceRecovery = clock_.Now() - *recoveredAt_;
  if (kept_.try_emplace(aObject.name, MissingObject{ aObject, aRemoval })
        .second) {
    LogEvent(LogLevel::Info,
             "catalog_missing_entry_kept",
             { { "collection", settings_.collection },
               { "name", aObject.name },
               { "version", FormatCatalogVersion(aRemoval) },
               { "follows_peer", aFollowsPeer },
               { "since_recovery_ms", ToMilliseconds(sinceRecovery) } });
  }
  if (!timer_.isActive()) {
    timer_.start(
      std::chrono::ceil<milliseconds>(settings_.retention - sinceRecovery));
  }
}

MissingObjects::Objects
MissingObjects::TakeExpired()
{
  for (const auto& [name, missing] : kept_) {
    LogEvent(LogLevel::Info,
             "catalog_entry_not_returned",
             { { "collection", settings_.collection }, { "name", name } });
  }
  return std::exchange(kept_, {});
}

void
MissingObjects::OnTimeout()
{
  if (IsRecovering()) {
    // There was another outage in the meantime.
    timer_.start(std::chrono::ceil<milliseconds>(
      *recoveredAt_ + settings_.retention - clock_.Now()));
    return;
  }
  onExpired_();
}

} // namespace filbertbeam
