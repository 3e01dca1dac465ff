#include "daemon/HostListFollower.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRegisterRetry{ 500 };
// Hosts that start together are all in the list after about a second.
constexpr milliseconds kSecondFetch{ 1'200 };
// At 1,300 hosts this is 260 reads per second of the platform's 2,000.
constexpr milliseconds kFetchInterval{ 5'000 };

} // namespace

HostListFollower::HostListFollower(HostList& aHostList,
                                   ListedHost aSelf,
                                   Random& aRandom,
                                   Handler aOnHosts)
  : hostList_(aHostList)
  , self_(std::move(aSelf))
  , random_(aRandom)
  , onHosts_(std::move(aOnHosts))
{
  registerTimer_.setSingleShot(true);
  registerTimer_.callOnTimeout([this] { Register(); });
  fetchTimer_.callOnTimeout([this] {
    fetchTimer_.start(kFetchInterval);
    Fetch();
  });
}

void
HostListFollower::Start()
{
  Register();
  Fetch();
  fetchTimer_.start(kSecondFetch);
}

void
HostListFollower::Remove(const std::string& aHost)
{
  hostList_.Remove(aHost, [aHost](const std::optional<std::string>& aFailure) {
    LogEvent(aFailure ? LogLevel::Warning : LogLevel::Info,
             aFailure ? "dead_host_not_removed" : "dead_host_removed",
             { { "host", aHost }, { "reason", aFailure.value_or("") } });
  });
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
  fetchTimer_.stop();
  hostList_.Remove(
    self_.host,
    [done = std::move(aDone)](const std::optional<std::string>& aFailure) {
      if (aFailure) {
        LogEvent(LogLevel::Warning,
                 "host_not_unregistered",
                 { { "reason", *aFailure } });
      }
      done();
    });
}

void
HostListFollower::Register()
{
  registerTimer_.stop();
  hostList_.Write(self_, [this](const std::optional<std::string>& aFailure) {
    if (!aFailure || isUnregistered_) {
      return;
    }
    LogEvent(
      LogLevel::Warning, "host_not_registered", { { "reason", *aFailure } });
    registerTimer_.start(
      kRegisterRetry + milliseconds(random_.Below(
                         static_cast<std::uint64_t>(kRegisterRetry.count()))));
  });
}

void
HostListFollower::Fetch()
{
  hostList_.Fetch([this](const StoreResult<std::vector<ListedHost>>& aResult) {
    const bool isAway = !aResult.value.has_value();
    if (isAway_.value_or(false) != isAway) {
      LogEvent(isAway ? LogLevel::Warning : LogLevel::Info,
               isAway ? "host_list_unavailable" : "host_list_available",
               { { "reason", aResult.reason } });
    }
    isAway_ = isAway;
    if (!isAway && !isUnregistered_) {
      OnHosts(*aResult.value);
    }
  });
}

void
HostListFollower::OnHosts(std::vector<ListedHost> aHosts)
{
  const auto own = std::ranges::find(aHosts, self_.host, &ListedHost::host);
  // The entry may be of an earlier process of this host, or another host may
  // have taken it for one that ended.
  if (own == aHosts.end()) {
    aHosts.push_back(self_);
    Register();
  } else if (*own != self_) {
    *own = self_;
    Register();
  }
  onHosts_(aHosts);
}

} // namespace filbertbeam
