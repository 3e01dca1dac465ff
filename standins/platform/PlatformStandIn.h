#pragma once

#include "http/HttpServer.h"
#include "store/HostList.h"
#include "store/MemoryObjectStore.h"

#include <QObject>

#include <map>

namespace filbertbeam {

// Simulates the platform: the object store and the host list behind the HTTP
// API of docs/platform-protocol.md, with faults that can be switched while it
// runs.
class PlatformStandIn final : public HttpApplication
{
public:
  // Listens on aEndpoint; port 0 picks a free one. Null, with a reason, when
  // that fails.
  static std::unique_ptr<PlatformStandIn> Create(const Endpoint& aEndpoint,
                                                 std::string& aReason);

  std::uint16_t Port() const { return server_->Port(); }
  MemoryObjectStore& Store() { return store_; }

  // Changes of the host list show after the lag that held when they were made.
  void SetHostLag(std::chrono::milliseconds aLag) { hostLag_ = aLag; }
  void PutHost(const ListedHost& aHost);
  void RemoveHost(const std::string& aHost);
  const std::map<std::string, ListedHost>& VisibleHosts() const
  {
    return visibleHosts_;
  }

  // Runs aAction from the event loop after aDelay, unless this is destroyed.
  void RunLater(std::chrono::milliseconds aDelay,
                std::function<void()> aAction);

  std::uint64_t HostListCalls() const { return hostListCalls_; }
  void CountHostListCall() { ++hostListCalls_; }
  void ResetCounts();

  std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) override;

private:
  void ChangeHostsLater(std::function<void()> aChange);

  MemoryObjectStore store_;
  std::map<std::string, ListedHost> visibleHosts_;
  std::chrono::milliseconds hostLag_{ 0 };
  std::uint64_t hostListCalls_ = 0;
  QObject context_;
  // Last, since its sessions use everything above.
  std::unique_ptr<HttpServer> server_;
};

} // namespace filbertbeam
