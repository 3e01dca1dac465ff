#pragma once

#include "http/HttpClient.h"

#include <QObject>

#include <unordered_map>
#include <vector>

namespace filbertbeam {

class HttpClientConnection;

// Implementation of HttpClient with QTcpSocket.
class TcpHttpClient final : public HttpClient
{
public:
  TcpHttpClient(const HttpClientLimits& aLimits, StrayBytesHandler aHandler);
  ~TcpHttpClient() override;
  TcpHttpClient(const TcpHttpClient&) = delete;
  TcpHttpClient& operator=(const TcpHttpClient&) = delete;

  std::shared_ptr<HttpClientExchange> Start(
    const Endpoint& aServer,
    const HttpRequestHead& aHead,
    const HttpClientOptions& aOptions,
    std::shared_ptr<HttpResponseObserver> aObserver) override;

  void CloseIdleConnections(const Endpoint& aServer) override;
  int OpenConnections(const Endpoint& aServer) const override;

private:
  struct EndpointHash
  {
    std::size_t operator()(const Endpoint& aEndpoint) const;
  };
  struct Pool
  {
    std::vector<std::shared_ptr<HttpClientConnection>> idle;
    std::unordered_map<HttpClientConnection*,
                       std::shared_ptr<HttpClientConnection>>
      open;
  };

  // Removes a connection from the pool that is usable for a request with
  // aMethod and aOptions. Returns null if there is none.
  std::shared_ptr<HttpClientConnection> TakeIdle(
    const Endpoint& aServer,
    std::string_view aMethod,
    const HttpClientOptions& aOptions);
  std::shared_ptr<HttpClientConnection> Open(const Endpoint& aServer);
  bool AddIdle(HttpClientConnection& aConnection);
  void RemoveConnection(HttpClientConnection& aConnection);
  void OnStrayBytes(const StrayBytes& aBytes);
  // True if connections to aServer may carry several exchanges.
  bool IsTrusted(const Endpoint& aServer) const;

  HttpClientLimits limits_;
  const StrayBytesHandler onStrayBytes_;
  // Number of the connection that was opened last.
  std::uint64_t lastConnection_ = 0;
  // Context object of queued events; pending ones are dropped when the client
  // is destroyed.
  QObject context_;
  std::unordered_map<Endpoint, Pool, EndpointHash> pools_;
  // The servers that have sent stray bytes, with the end of the time for which
  // that is remembered.
  std::
    unordered_map<Endpoint, std::chrono::steady_clock::time_point, EndpointHash>
      untrustedUntil_;
};

} // namespace filbertbeam
