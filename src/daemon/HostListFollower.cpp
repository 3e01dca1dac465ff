#include "daemon/HostListFollower.h"

#include "base/Log.h"
#include "membership/ListedHostJson.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRegisterRetry{ 500 };
// Hosts that start together cost each of the others one call.
constexpr milliseconds kGatherTime{ 500 };

} // namespace

HostListFollower::HostListFollower(ObjectCatalog& aCatalog,
                                   ListedHost aSelf,
                                   const Clock& aClock,
                                   Random& aRandom,
                                   Handler aOnHosts)
  : catalog_(aCatalog)
  , self_(std::move(aSelf))
  , random_(aRandom)
  , onHosts_(std::move(aOnHosts))
  , follower_(
      aCatalog,
      { Collection::Members, "members", kGatherTime, milliseconds(0) },
      aClock,
      aRandom,
      [this](const CatalogFollower::Objects& aObjects) { OnObjects(aObjects); })
{
  registerTimer_.setSingleShot(true);
  registerTimer_.callOnTimeout([this] { Register(); });
}

void
HostListFollower::Start()
{
  Register();
  follower_.Start();
}

void
HostListFollower::StartLeaving()
{
  self_.isLeaving = true;
  Register();
}

void
HostListFollower::Unregister(std::function<void()> aDone)
{
  isUnregistered_ = true;
  registerTimer_.stop();
  catalog_.Remove(Collection::Members,
                  self_.host,
                  [done = std::move(aDone)](const CatalogFailure& aFailure) {
                    if (aFailure.error != CatalogError::None) {
                      LogEvent(LogLevel::Warning,
                               "host_not_unregistered",
                               { { "reason", aFailure.reason } });
                    }
                    done();
                  });
}

void
HostListFollower::Remove(const std::string& aHost)
{
  catalog_.Remove(
    Collection::Members, aHost, [aHost](const CatalogFailure& aFailure) {
      const bool isRemoved = aFailure.error == CatalogError::None;
      LogEvent(isRemoved ? LogLevel::Info : LogLevel::Warning,
               isRemoved ? "dead_host_removed" : "dead_host_not_removed",
               { { "host", aHost }, { "reason", aFailure.reason } });
    });
}

void
HostListFollower::Register()
{
  registerTimer_.stop();
  isWriting_ = true;
  catalog_.Put(Collection::Members,
               self_.host,
               ListedHostToJson(self_),
               [this](const CatalogFailure& aFailure) {
                 isWriting_ = false;
                 if (aFailure.error == CatalogError::None || isUnregistered_) {
                   return;
                 }
                 LogEvent(LogLevel::Warning,
                          "host_not_registered",
                          { { "reason", aFailure.reason } });
                 registerTimer_.start(
                   kRegisterRetry +
                   milliseconds(random_.Below(
                     static_cast<std::uint64_t>(kRegisterRetry.count()))));
               });
}

void
HostListFollower::OnObjects(const CatalogFollower::Objects& aObjects)
{
  if (isUnregistered_) {
    return;
  }
  hosts_.clear();
  for (const auto& [name, object] : aObjects) {
    auto host = ListedHostFromJson(name, object.content);
    if (!host) {
      // Heartbeats keep a host whose entry is damaged while it lives.
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
  // The entry may be of an earlier process of this host, or another host may
  // have taken it for one that ended.
  if (!isAsWritten && !isWriting_ && !registerTimer_.isActive()) {
    Register();
  }
  onHosts_(hosts_);
}

} // namespace filbertbeam
