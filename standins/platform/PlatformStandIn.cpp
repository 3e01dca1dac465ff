#include "standins/platform/PlatformStandIn.h"

#include "standins/platform/PlatformSession.h"

#include <QTimer>

namespace filbertbeam {

namespace {

// A fleet of 1,300 hosts holds some connections each.
constexpr int kMaxConnections = 16 * 1024;

} // namespace

std::unique_ptr<PlatformStandIn>
PlatformStandIn::Create(const Endpoint& aEndpoint, std::string& aReason)
{
  auto standIn = std::make_unique<PlatformStandIn>();
  HttpServerLimits limits;
  // Lets a value that is slightly too large reach the store, which refuses it.
  limits.bodyBytes = 2 * kMaxObjectBytes;
  limits.connections = kMaxConnections;
  standIn->server_ = HttpServer::Create(aEndpoint, limits, *standIn, aReason);
  if (standIn->server_ == nullptr) {
    return nullptr;
  }
  return standIn;
}

void
PlatformStandIn::PutHost(const ListedHost& aHost)
{
  ChangeHostsLater(
    [this, aHost] { visibleHosts_.insert_or_assign(aHost.host, aHost); });
}

void
PlatformStandIn::RemoveHost(const std::string& aHost)
{
  ChangeHostsLater([this, aHost] { visibleHosts_.erase(aHost); });
}

void
PlatformStandIn::ResetCounts()
{
  store_.ResetCounts();
  hostListCalls_ = 0;
}

std::shared_ptr<HttpRequestObserver>
PlatformStandIn::OnRequest(std::shared_ptr<HttpServerExchange> aExchange)
{
  return std::make_shared<PlatformSession>(*this, std::move(aExchange));
}

void
PlatformStandIn::ChangeHostsLater(std::function<void()> aChange)
{
  if (hostLag_.count() == 0) {
    aChange();
    return;
  }
  RunLater(hostLag_, std::move(aChange));
}

void
PlatformStandIn::RunLater(std::chrono::milliseconds aDelay,
                          std::function<void()> aAction)
{
  QTimer::singleShot(aDelay, Qt::PreciseTimer, &context_, std::move(aAction));
}

} // namespace filbertbeam
