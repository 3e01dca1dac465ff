#include "catalog/OutdatedWrites.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

} // namespace

OutdatedWrites::OutdatedWrites(std::string_view aCollection,
                               const WriteOrder* aOrder,
                               const Clock& aClock,
                               std::function<void()> aOnExpired)
  : collection_(aCollection)
  , order_(aOrder)
  , clock_(aClock)
  , onExpired_(std::move(aOnExpired))
{
  timer_.setSingleShot(true);
  timer_.callOnTimeout([this] { OnTimeout(); });
}

CatalogObject
OutdatedWrites::Resolve(const CatalogObject* aKnown, CatalogObject aRead)
{
  if (!order_) {
    return aRead;
  }
  // A catalog that was restored shows earlier writes for another reason.
  const bool isSameGeneration =
    aKnown && aKnown->version.generation == aRead.version.generation;
  if (!isSameGeneration) {
    Forget(aRead.name);
  }
  const WriteStamp stamp = order_->ReadStamp(aRead);
  if (stamp.startedAt == 0) {
    // Of another writer; what is known of the object's own writer stays.
    kept_.erase(aRead.name);
    return aRead;
  }
  const auto [latest, isNew] = latest_.try_emplace(aRead.name, stamp);
  if (isNew) {
    return aRead;
  }
  if (auto resolved = WithLaterParts(*aKnown, aRead, stamp, latest->second)) {
    Keep(aRead, stamp, latest->second);
    return std::move(*resolved);
  }
  kept_.erase(aRead.name);
  return aRead;
}

bool
OutdatedWrites::IsShown(const CatalogObject& aRead) const
{
  const auto kept = kept_.find(aRead.name);
  return kept != kept_.end() && kept->second.shown.content == aRead.content;
}

// An object has two parts that its writer may write separately: the content,
// which names its run, and the status with the number of the write. A writer
// that always writes them together may leave the status empty.
std::optional<CatalogObject>
OutdatedWrites::WithLaterParts(const CatalogObject& aKnown,
                               const CatalogObject& aRead,
                               const WriteStamp& aStamp,
                               WriteStamp& aLatest) const
{
  const bool isStatusSeparate = !aRead.status.isEmpty();
  if (aStamp.startedAt > aLatest.startedAt) {
    // A status that did not change is one of the earlier run, whose number says
    // nothing about the writes of this one.
    const bool isStatusNew = !isStatusSeparate || aRead.status != aKnown.status;
    aLatest = { aStamp.startedAt, isStatusNew ? aStamp.number : 0 };
    return std::nullopt;
  }
  const bool isRunOutdated = aStamp.startedAt < aLatest.startedAt;
  // Once an earlier run is shown, another status is one of the latest run.
  const bool isStatusOutdated =
    (aStamp.number != 0 && aStamp.number < aLatest.number) ||
    (isRunOutdated && !(isStatusSeparate && IsShown(aRead)));
  if (!isStatusOutdated) {
    aLatest.number = std::max(aLatest.number, aStamp.number);
  }
  if (!isRunOutdated && !isStatusOutdated) {
    return std::nullopt;
  }
  CatalogObject resolved = aRead;
  resolved.version = std::max(aRead.version, aKnown.version);
  if (isRunOutdated || !isStatusSeparate) {
    resolved.content = aKnown.content;
  }
  if (isStatusOutdated) {
    resolved.status = aKnown.status;
  }
  return resolved;
}

void
OutdatedWrites::Keep(const CatalogObject& aShown,
                     const WriteStamp& aStamp,
                     const WriteStamp& aLatest)
{
  const auto [kept, isNew] =
    kept_.try_emplace(aShown.name, Kept{ aShown, clock_.Now() });
  if (!isNew) {
    kept->second.shown = aShown;
    return;
  }
  LogEvent(LogLevel::Info,
           "catalog_write_outdated",
           { { "collection", collection_ },
             { "name", aShown.name },
             { "version", FormatCatalogVersion(aShown.version) },
             { "write", aStamp.number },
             { "latest_write", aLatest.number } });
  if (!timer_.isActive()) {
    timer_.start(kOutdatedWriteRetention);
  }
}

void
OutdatedWrites::Forget(const std::string& aName)
{
  latest_.erase(aName);
  kept_.erase(aName);
}

OutdatedWrites::Objects
OutdatedWrites::TakeExpired()
{
  Objects expired;
  for (auto kept = kept_.begin(); kept != kept_.end();) {
    if (clock_.Now() - kept->second.since < kOutdatedWriteRetention) {
      ++kept;
      continue;
    }
    const CatalogObject& shown = kept->second.shown;
    latest_[shown.name] = order_->ReadStamp(shown);
    LogEvent(LogLevel::Info,
             "catalog_write_accepted",
             { { "collection", collection_ }, { "name", shown.name } });
    expired.emplace(shown.name, shown);
    kept = kept_.erase(kept);
  }
  return expired;
}

void
OutdatedWrites::OnTimeout()
{
  onExpired_();
  std::optional<Instant> next;
  for (const auto& [name, kept] : kept_) {
    const Instant end = kept.since + kOutdatedWriteRetention;
    next = next ? std::min(*next, end) : end;
  }
  if (next) {
    timer_.start(std::chrono::ceil<milliseconds>(*next - clock_.Now()));
  }
}

} // namespace filbertbeam
