#include "gateway/HostRegistry.h"

#include "base/Log.h"
#include "catalog/DeadHostEntry.h"
#include "gateway/PeerSnapshot.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Hosts that start together are all registered after about a second. Later
// ones make themselves known to those they find.
constexpr milliseconds kFirstList{ 1'200 };
constexpr milliseconds kListInterval{ 60'000 };
constexpr milliseconds kListRetry{ 1'000 };

} // namespace

HostRegistry::HostRegistry(ObjectCatalog& aCatalog,
                           PeerHost aSelf,
                           const Clock& aClock,
                           Random& aRandom,
                           Handler aOnHosts,
                           Handler aGreet)
  : catalog_(aCatalog)
  , self_(std::move(aSelf))
  , clock_(aClock)
  , random_(aRandom)
  , registration_(aCatalog, Collection::Hosts, self_.name, aRandom)
  , silentPeers_(self_.name, aRandom)
  , onHosts_(std::move(aOnHosts))
  , greet_(std::move(aGreet))
{
  listTimer_.setSingleShot(true);
  listTimer_.callOnTimeout([this] { List({}); });
}

void
HostRegistry::Start()
{
  registration_.Write(PeerHostToJson(self_));
  listTimer_.start(kFirstList);
}

void
HostRegistry::Unregister()
{
  listTimer_.stop();
  registration_.Remove([] {});
}

void
HostRegistry::Import(std::vector<PeerHost> aHosts)
{
  if (known_.empty()) {
    known_ = std::move(aHosts);
    onHosts_(known_);
  }
}

void
HostRegistry::List(const std::string& aAfter)
{
  if (aAfter.empty()) {
    hosts_.clear();
  }
  catalog_.List(Collection::Hosts, aAfter, [this](const CatalogPage& aPage) {
    OnPage(aPage);
  });
}

void
HostRegistry::OnPage(const CatalogPage& aPage)
{
  if (aPage.failure.error != CatalogError::None) {
    LogEvent(LogLevel::Warning,
             "hosts_not_listed",
             { { "reason", aPage.failure.reason } });
    listTimer_.start(kListRetry +
                     milliseconds(random_.Below(
                       static_cast<std::uint64_t>(kListRetry.count()))));
    return;
  }
  for (const CatalogObject& object : aPage.objects) {
    if (auto host = PeerHostFromJson(object.name, object.content)) {
      hosts_.push_back(std::move(*host));
    }
  }
  if (aPage.hasMore && !aPage.objects.empty()) {
    List(aPage.objects.back().name);
    return;
  }
  LogEvent(LogLevel::Info, "hosts_listed", { { "hosts", hosts_.size() } });
  const bool isListed = std::ranges::find(hosts_, self_) != hosts_.end();
  // Something else took the entry out, or wrote another.
  if (!isListed && !registration_.IsWriting()) {
    registration_.Write(PeerHostToJson(self_));
  }
  known_ = std::move(hosts_);
  hosts_.clear();
  onHosts_(known_);
  RemoveDeadHosts();
  greet_(silentPeers_.BeginRound(known_, clock_.Now()));
  listTimer_.start(kListInterval);
}

void
HostRegistry::RemoveDeadHosts()
{
  for (const std::string& host : silentPeers_.TakeExpired(clock_.Now())) {
    const bool isListed =
      std::ranges::find(known_, host, &PeerHost::name) != known_.end();
    if (isListed) {
      RemoveDeadHostEntry(catalog_, Collection::Hosts, host);
    }
  }
}

} // namespace filbertbeam
