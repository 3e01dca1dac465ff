#pragma once

#include "http/HttpServerExchange.h"

#include <chrono>
#include <memory>
#include <string>

namespace filbertbeam {

// Resource limits of a server and its connections. A violation gets a
// problem+json response (400, 408, 413, 431) and closes the connection. Once
// the application has the request, it decides on the response.
struct HttpServerLimits
{
  std::size_t headBytes = 16 * 1024;
  std::uint64_t bodyBytes = 64ULL * 1024 * 1024;
  std::chrono::milliseconds headTimeout{ 10'000 };
  // Minimum transfer rate: in each window of bodyGrace, a request body has to
  // arrive at bodyRate or more on average while its reader is not paused. A
  // caller has to read its response at the same rate.
  std::chrono::milliseconds bodyGrace{ 10'000 };
  std::size_t bodyRate = 1024; // bytes per second
  std::chrono::milliseconds idleTimeout{ 60'000 };
  // Watermarks of the unsent response bytes: above highWatermark the
  // application should stop sending; OnResponseWritable is called once they
  // have fallen to lowWatermark.
  std::size_t highWatermark = 256 * 1024;
  std::size_t lowWatermark = 64 * 1024;
  int connections = 4096;
  // Maximum number of requests of one connection that run at the same time.
  std::size_t concurrentRequests = 8;
};

// Handles the requests that a server receives.
class HttpApplication
{
public:
  virtual ~HttpApplication() = default;

  // Called when a complete and valid request head has arrived. The returned
  // observer receives the events of the exchange; the response may already be
  // sent during this call.
  virtual std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) = 0;

  // Returns true if a pipelined request may start before the response to the
  // preceding one is complete. Responses are still sent in the order of the
  // requests. A caller sends such a request again when an earlier response
  // closes the connection, so only requests that may run more than once should
  // run concurrently.
  virtual bool MayRunConcurrently(const HttpRequestHead& aHead);

  // Returns true if the application may abort the response after a part of it
  // was sent. The requests behind it on the connection, which would end with
  // it, then start once it is complete.
  virtual bool MayAbortResponse(const HttpRequestHead& aHead);
};

// An HTTP/1.1 server that runs on the event loop of the thread that creates it.
class HttpServer
{
public:
  virtual ~HttpServer() = default;

  // Listens on aEndpoint; port 0 selects a free port. Returns null and sets
  // aReason if the address cannot be bound. aApplication has to outlive the
  // server.
  static std::unique_ptr<HttpServer> Create(const Endpoint& aEndpoint,
                                            const HttpServerLimits& aLimits,
                                            HttpApplication& aApplication,
                                            std::string& aReason);

  virtual std::uint16_t Port() const = 0;

  // Limits of head and body sizes apply to requests that begin from now on,
  // also on open connections; time limits to all connections.
  virtual void SetLimits(const HttpServerLimits& aLimits) = 0;

  // Closes each connection after its next response, so that callers move to
  // other hosts; new connections are still served.
  virtual void CloseAfterResponses() = 0;

  // Stops gracefully: accepts no further connections, handles no further
  // requests on the open ones (Connection: close), and lets running exchanges
  // finish.
  virtual void StopAccepting() = 0;

  // Number of connections with a request whose response is not complete.
  virtual int RunningExchanges() const = 0;
  virtual int OpenConnections() const = 0;
};

} // namespace filbertbeam
