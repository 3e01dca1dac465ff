#include "gateway/HostRegistry.h"

#include "base/Log.h"
#include "catalog/DeadHostEntry.h"
#include "gateway/PeerSnapshot.h"

#include <algorithm>
#include <array>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Delays between the lists after the start. The first list shows whether this
// host is registered from an earlier run. Hosts that start together are all
// registered by the second, and in a list that is some seconds old by the
// third. Hosts that start later announce themselves to those in the list.
constexpr std::array<milliseconds, 2> kEarlyListDelays{ milliseconds(1'200),
                                                        milliseconds(4'000) };
constexpr milliseconds kListInterval{ 60'000 };
constexpr milliseconds kListRetryDelay{ 1'000 };
// The first list after a restore of the catalog comes within this time, so that
// hosts do not call together.
constexpr milliseconds kRestoredListSpread{ 800 };

} // namespace

HostRegistry::HostRegistry(ObjectCatalog& aCatalog,
                           PeerHost aSelf,
                           const Clock& aClock,
                           Random& aRandom,
                           Handler aOnHosts,
                           Handler aProbeHosts)
  : catalog_(aCatalog)
  , self_(std::move(aSelf))
  , clock_(aClock)
  , random_(aRandom)
  , registration_(aCatalog, Collection::Hosts, self_.name, aRandom)
  , deadHostDetector_(self_.name, aRandom)
  , onHosts_(std::move(aOnHosts))
  , probeHosts_(std::move(aProbeHosts))
{
  listTimer_.setSingleShot(true);
  listTimer_.callOnTimeout([this] { List({}); });
}

void
HostRegistry::Start()
{
  List({});
}

void
HostRegistry::Unregister()
{
  listTimer_.stop();
  registration_.Remove([] {});
}

void
HostRegistry::OnCatalogRestored()
{
  if (registration_.IsRemoved()) {
    return;
  }
  LogEvent(LogLevel::Info,
           "host_registration_checked",
           { { "host", self_.name }, { "reason", "catalog restored" } });
  // The lists that follow are those after a start: the copy may lack this host
  // and others, and stale lists may lack what they write again.
  isRestoring_ = true;
  hasWritten_ = false;
  earlyLists_ = 0;
  needsNewestList_ = false;
  listTimer_.start(milliseconds(
    random_.Below(static_cast<std::uint64_t>(kRestoredListSpread.count()))));
}

void
HostRegistry::KeepMissingHosts()
{
  for (const PeerHost& host : listedHosts_) {
    const bool isListed =
      std::ranges::find(pendingList_, host.name, &PeerHost::name) !=
      pendingList_.end();
    if (!isListed) {
      pendingList_.push_back(host);
    }
  }
}

void
HostRegistry::Import(std::vector<PeerHost> aHosts)
{
  if (listedHosts_.empty()) {
    listedHosts_ = std::move(aHosts);
    onHosts_(listedHosts_);
  }
}

void
HostRegistry::List(const std::string& aAfter)
{
  if (aAfter.empty()) {
    pendingList_.clear();
  }
  // Hosts that a stale list lacks announce themselves.
  catalog_.List(Collection::Hosts,
                aAfter,
                needsNewestList_ ? ListFreshness::Newest
                                 : ListFreshness::MayBeStale,
                [this, list = ++latestList_](const CatalogPage& aPage) {
                  if (list == latestList_) {
                    OnPage(aPage);
                  }
                });
}

void
HostRegistry::OnPage(const CatalogPage& aPage)
{
  if (aPage.failure.error != CatalogError::None) {
    LogEvent(LogLevel::Warning,
             "hosts_not_listed",
             { { "reason", aPage.failure.reason } });
    listTimer_.start(kListRetryDelay +
                     milliseconds(random_.Below(
                       static_cast<std::uint64_t>(kListRetryDelay.count()))));
    return;
  }
  for (const CatalogObject& object : aPage.objects) {
    if (auto host = PeerHostFromJson(object.name, object.content)) {
      pendingList_.push_back(std::move(*host));
    }
  }
  if (aPage.hasMore && !aPage.objects.empty()) {
    List(aPage.objects.back().name);
    return;
  }
  CompleteList(aPage.mayBeStale);
}

void
HostRegistry::CompleteList(bool aMayBeStale)
{
  LogEvent(LogLevel::Info,
           "hosts_listed",
           { { "hosts", pendingList_.size() }, { "stale", aMayBeStale } });
  const bool isEarly = earlyLists_ < kEarlyListDelays.size();
  const bool isListed =
    std::ranges::find(pendingList_, self_) != pendingList_.end();
  isRestoring_ = isRestoring_ && isEarly;
  if (isRestoring_) {
    KeepMissingHosts();
  }
  listedHosts_ = std::move(pendingList_);
  pendingList_.clear();
  onHosts_(listedHosts_);
  RemoveDeadHosts();
  probeHosts_(deadHostDetector_.BeginRound(listedHosts_, clock_.Now()));
  // A stale list may be older than the entry that this run wrote.
  const bool isKnownToBeMissing = !isListed && (!aMayBeStale || !hasWritten_);
  needsNewestList_ = !isEarly && !isListed && !isKnownToBeMissing;
  if (isKnownToBeMissing && !registration_.IsWriting()) {
    // Not registered yet, or the entry was removed or overwritten by another
    // writer.
    hasWritten_ = true;
    registration_.Write(PeerHostToJson(self_));
  }
  if (needsNewestList_) {
    listTimer_.start(kListRetryDelay);
  } else if (isEarly) {
    listTimer_.start(kEarlyListDelays.at(earlyLists_++));
  } else {
    listTimer_.start(kListInterval);
  }
}

void
HostRegistry::RemoveDeadHosts()
{
  for (const std::string& host :
       deadHostDetector_.TakeDeadHosts(clock_.Now())) {
    const bool isListed =
      std::ranges::find(listedHosts_, host, &PeerHost::name) !=
      listedHosts_.end();
    if (isListed) {
      RemoveDeadHostEntry(catalog_, Collection::Hosts, host);
    }
  }
}

} // namespace filbertbeam
