#include "gateway/HostRegistry.h"

#include "base/Log.h"
#include "gateway/EndpointJson.h"

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRegisterRetry{ 500 };
// Hosts that start together are all registered after about a second. Later
// ones make themselves known to those they find.
constexpr milliseconds kFirstList{ 1'200 };
constexpr milliseconds kListInterval{ 60'000 };
constexpr milliseconds kListRetry{ 1'000 };

} // namespace

HostRegistry::HostRegistry(ObjectCatalog& aCatalog,
                           PeerHost aSelf,
                           Random& aRandom,
                           Handler aOnHosts)
  : catalog_(aCatalog)
  , self_(std::move(aSelf))
  , random_(aRandom)
  , onHosts_(std::move(aOnHosts))
{
  for (QTimer* timer : { &registerTimer_, &listTimer_ }) {
    timer->setSingleShot(true);
  }
  registerTimer_.callOnTimeout([this] { Register(); });
  listTimer_.callOnTimeout([this] { List({}); });
}

void
HostRegistry::Start()
{
  Register();
  listTimer_.start(kFirstList);
}

void
HostRegistry::Unregister()
{
  registerTimer_.stop();
  listTimer_.stop();
  catalog_.Remove(
    Collection::Hosts, self_.name, [](const CatalogFailure& aFailure) {
      if (aFailure.error != CatalogError::None) {
        LogEvent(LogLevel::Warning,
                 "host_not_unregistered",
                 { { "reason", aFailure.reason } });
      }
    });
}

void
HostRegistry::Adopt(std::vector<PeerHost> aHosts)
{
  if (known_.empty()) {
    known_ = std::move(aHosts);
    onHosts_(known_);
  }
}

void
HostRegistry::Register()
{
  catalog_.Put(Collection::Hosts,
               self_.name,
               EndpointToJson(self_.address),
               [this](const CatalogFailure& aFailure) {
                 if (aFailure.error == CatalogError::None) {
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
    listTimer_.start(kListRetry +
                     milliseconds(random_.Below(
                       static_cast<std::uint64_t>(kListRetry.count()))));
    return;
  }
  for (const CatalogObject& object : aPage.objects) {
    if (const auto address = EndpointFromJson(object.content)) {
      hosts_.push_back({ object.name, *address });
    }
  }
  if (aPage.hasMore && !aPage.objects.empty()) {
    List(aPage.objects.back().name);
    return;
  }
  LogEvent(LogLevel::Info, "hosts_listed", { { "hosts", hosts_.size() } });
  known_ = std::move(hosts_);
  hosts_.clear();
  onHosts_(known_);
  listTimer_.start(kListInterval);
}

} // namespace filbertbeam
