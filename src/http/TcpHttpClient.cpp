#include "http/TcpHttpClient.h"

#include "http/EndpointText.h"
#include "http/HttpClientConnection.h"
#include "http/HttpHeadWriter.h"
#include "http/TcpClientExchange.h"

#include <algorithm>

namespace filbertbeam {

std::size_t
TcpHttpClient::EndpointHash::operator()(const Endpoint& aEndpoint) const
{
  return std::hash<std::string>()(aEndpoint.address) * 31 + aEndpoint.port;
}

TcpHttpClient::TcpHttpClient(const HttpClientLimits& aLimits,
                             StrayBytesHandler aHandler)
  : limits_(aLimits)
  , onStrayBytes_(std::move(aHandler))
{
}

TcpHttpClient::~TcpHttpClient()
{
  std::vector<std::shared_ptr<HttpClientConnection>> connections;
  for (const auto& [server, pool] : pools_) {
    for (const auto& [key, connection] : pool.open) {
      connections.push_back(connection);
    }
  }
  for (const auto& connection : connections) {
    connection->Discard();
  }
}

std::shared_ptr<HttpClientExchange>
TcpHttpClient::Start(const Endpoint& aServer,
                     const HttpRequestHead& aHead,
                     const HttpClientOptions& aOptions,
                     std::shared_ptr<HttpResponseObserver> aObserver)
{
  HttpRequestHead head = aHead;
  if (!head.fields.Find("Host")) {
    head.fields.Set("Host", FormatEndpoint(aServer));
  }
  if (head.framing == BodyFraming::UntilClose) {
    head.framing = BodyFraming::Chunked;
  }
  std::string reason;
  const auto bytes = WriteRequestHead(head, reason);
  if (!bytes) {
    QMetaObject::invokeMethod(
      &context_,
      [observer = std::move(aObserver), reason] {
        observer->OnExchangeFailed(
          { HttpFailureKind::Cancelled, false, reason });
      },
      Qt::QueuedConnection);
    return std::make_shared<TcpClientExchange>(
      std::weak_ptr<HttpClientConnection>(), ConnectionUse{});
  }
  if (const auto idle = TakeIdle(aServer, head.method, aOptions)) {
    return idle->Begin(head, *bytes, aOptions.requestId, std::move(aObserver));
  }
  const auto connection = Open(aServer);
  auto exchange =
    connection->Begin(head, *bytes, aOptions.requestId, std::move(aObserver));
  connection->Connect(aOptions.connectTimeout);
  return exchange;
}

void
TcpHttpClient::CloseIdleConnections(const Endpoint& aServer)
{
  const auto pool = pools_.find(aServer);
  if (pool == pools_.end()) {
    return;
  }
  // The pool may be removed with its last connection.
  for (const auto& connection : std::exchange(pool->second.idle, {})) {
    connection->Discard();
  }
}

int
TcpHttpClient::OpenConnections(const Endpoint& aServer) const
{
  const auto pool = pools_.find(aServer);
  return pool == pools_.end() ? 0 : static_cast<int>(pool->second.open.size());
}

std::shared_ptr<HttpClientConnection>
TcpHttpClient::TakeIdle(const Endpoint& aServer,
                        std::string_view aMethod,
                        const HttpClientOptions& aOptions)
{
  const auto isSuitable = [&](const auto& aConnection) {
    return aConnection->IsFor(aMethod) &&
           (!aOptions.requestId ||
            !aConnection->MayHaveCarried(*aOptions.requestId));
  };
  while (true) {
    const auto pool = pools_.find(aServer);
    if (aOptions.freshConnection || pool == pools_.end()) {
      return nullptr;
    }
    // The connection that was used last is the least likely to be closed by
    // its peer.
    auto& idle = pool->second.idle;
    const auto found = std::find_if(idle.rbegin(), idle.rend(), isSuitable);
    if (found == idle.rend()) {
      return nullptr;
    }
    auto connection = std::move(*found);
    idle.erase(std::next(found).base());
    if (connection->CheckUsable()) {
      return connection;
    }
    connection->Discard();
  }
}

std::shared_ptr<HttpClientConnection>
TcpHttpClient::Open(const Endpoint& aServer)
{
  auto connection = std::make_shared<HttpClientConnection>(
    ++lastConnection_,
    aServer,
    limits_,
    context_,
    HttpClientConnection::Handlers{
      [this](HttpClientConnection& aConnection) {
        return AddIdle(aConnection);
      },
      [this](HttpClientConnection& aConnection) {
        RemoveConnection(aConnection);
      },
      [this](const StrayBytes& aBytes) { OnStrayBytes(aBytes); } });
  pools_[aServer].open.emplace(connection.get(), connection);
  return connection;
}

bool
TcpHttpClient::AddIdle(HttpClientConnection& aConnection)
{
  if (!IsTrusted(aConnection.Server())) {
    return false;
  }
  Pool& pool = pools_[aConnection.Server()];
  if (static_cast<int>(pool.idle.size()) >= limits_.idleConnections) {
    return false;
  }
  pool.idle.push_back(aConnection.shared_from_this());
  return true;
}

void
TcpHttpClient::RemoveConnection(HttpClientConnection& aConnection)
{
  const auto pool = pools_.find(aConnection.Server());
  if (pool == pools_.end()) {
    return;
  }
  std::erase_if(pool->second.idle, [&aConnection](const auto& aIdle) {
    return aIdle.get() == &aConnection;
  });
  pool->second.open.erase(&aConnection);
  if (pool->second.open.empty()) {
    pools_.erase(pool);
  }
}

void
TcpHttpClient::OnStrayBytes(const StrayBytes& aBytes)
{
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(untrustedUntil_,
                [now](const auto& aEntry) { return aEntry.second <= now; });
  untrustedUntil_[aBytes.server] = now + limits_.strayBytesMemory;
  CloseIdleConnections(aBytes.server);
  if (onStrayBytes_) {
    onStrayBytes_(aBytes);
  }
}

bool
TcpHttpClient::IsTrusted(const Endpoint& aServer) const
{
  const auto entry = untrustedUntil_.find(aServer);
  return entry == untrustedUntil_.end() ||
         entry->second <= std::chrono::steady_clock::now();
}

} // namespace filbertbeam
