#include "daemon/HostListFollower.h"

#include "base/Log.h"
#include "catalog/DeadHostEntry.h"
#include "membership/ListedHostJson.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// With this delay, hosts that start at the same time cost each other host one
// call.
constexpr milliseconds kCoalescingDelay{ 500 };
// Keeps hosts from listing together after a restore of the catalog.
constexpr milliseconds kRestoredListSpread{ 800 };

} // namespace

HostListFollower::HostListFollower(ObjectCatalog& aCatalog,
                                   ListedHost aSelf,
                                   const Clock& aClock,
                                   Random& aRandom,
                                   Handler aOnHosts)
  : catalog_(aCatalog)
  , random_(aRandom)
  , self_(std::move(aSelf))
  , registration_(aCatalog, Collection::Members, self_.host, aRandom)
  , onHosts_(std::move(aOnHosts))
  , follower_(
      aCatalog,
      { Collection::Members, "members", kCoalescingDelay, milliseconds(0) },
      aClock,
      aRandom,
      [this](const CatalogFollower::Objects& aObjects) { OnObjects(aObjects); })
{
  catalog_.SetRestoreHandler(
    [this](const CatalogRestore& aRestore) { OnCatalogRestored(aRestore); });
}

HostListFollower::~HostListFollower()
{
  catalog_.SetRestoreHandler({});
}

void
HostListFollower::Start()
{
  registration_.Write(ListedHostToJson(self_));
  follower_.Start();
}

void
HostListFollower::StartLeaving()
{
  self_.isLeaving = true;
  registration_.Write(ListedHostToJson(self_));
}

void
HostListFollower::Unregister(std::function<void()> aDone)
{
  registration_.Remove(std::move(aDone));
}

void
HostListFollower::Remove(const std::string& aHost)
{
  RemoveDeadHostEntry(catalog_, Collection::Members, aHost);
}

void
HostListFollower::OnCatalogRestored(const CatalogRestore& aRestore)
{
  LogEvent(LogLevel::Warning,
           "catalog_restored",
           { { "from", aRestore.fromGeneration },
             { "to", aRestore.toGeneration },
             { "call", aRestore.source } });
  follower_.OnCatalogRestored(
    aRestore.toGeneration,
    milliseconds(
      random_.Below(static_cast<std::uint64_t>(kRestoredListSpread.count()))));
}

void
HostListFollower::OnObjects(const CatalogFollower::Objects& aObjects)
{
  if (registration_.IsRemoved()) {
    return;
  }
  hosts_.clear();
  for (const auto& [name, object] : aObjects) {
    auto host = ListedHostFromJson(name, object.content);
    if (!host) {
      // Heartbeats keep a live host in the view even though its entry is
      // malformed.
      LogEvent(LogLevel::Warning, "host_entry_malformed", { { "host", name } });
      continue;
    }
    hosts_.push_back(std::move(*host));
  }
  const auto own = std::ranges::find(hosts_, self_.host, &ListedHost::host);
  const bool isAsWritten = own != hosts_.end() && *own == self_;
  if (own == hosts_.end()) {
    hosts_.push_back(self_);
  } else {
    *own = self_;
  }
  // The entry may be from an earlier process of this host, or another host may
  // have removed it because it found this host unreachable.
  if (!isAsWritten && !registration_.IsWriting()) {
    registration_.Write(ListedHostToJson(self_));
  }
  onHosts_(hosts_);
}

} // namespace filbertbeam
