#pragma once

#include "http/HttpServerExchange.h"

#include <chrono>
#include <memory>
#include <string>

namespace filbertbeam {

// What one connection may cost. Violations are answered with a
// problem+json response (400, 408, 413, 431) and the connection is closed.
struct HttpServerLimits
{
  std::size_t headBytes = 16 * 1024;
  std::uint64_t bodyBytes = 64ULL * 1024 * 1024;
  std::chrono::milliseconds headTimeout{ 10'000 };
  // After bodyGrace, a body has to arrive at no less than bodyRate on average
  // while the reader is not paused; the same holds for a caller that reads
  // its response.
  std::chrono::milliseconds bodyGrace{ 10'000 };
  std::size_t bodyRate = 1024; // bytes per second
  std::chrono::milliseconds idleTimeout{ 60'000 };
  // Unsent response bytes: above high, the application should stop sending;
  // OnResponseWritable follows below low.
  std::size_t highWatermark = 256 * 1024;
  std::size_t lowWatermark = 64 * 1024;
  int connections = 4096;
  // Requests of one connection that run at the same time.
  std::size_t concurrentRequests = 8;
};

// Decides what answers a request.
class HttpApplication
{
public:
  virtual ~HttpApplication() = default;

  // Called when a whole request head has arrived and is valid. The returned
  // observer gets the events of the exchange; a response may already be sent
  // during this call.
  virtual std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) = 0;

  // Whether a request that was sent before the response to the one before it
  // may start now. Its response still waits for its turn. A caller sends such a
  // request again when an earlier response ends the connection, so only
  // requests that may run more than once should start early.
  virtual bool MayRunConcurrently(const HttpRequestHead& aHead);
};

// An HTTP/1.1 server on the event loop of the thread that creates it.
class HttpServer
{
public:
  virtual ~HttpServer() = default;

  // Listens on aEndpoint; port 0 picks a free one. Returns null and fills
  // aReason when the address cannot be bound. aApplication has to outlive the
  // server.
  static std::unique_ptr<HttpServer> Create(const Endpoint& aEndpoint,
                                            const HttpServerLimits& aLimits,
                                            HttpApplication& aApplication,
                                            std::string& aReason);

  virtual std::uint16_t Port() const = 0;

  // Head and body sizes hold for connections accepted from now on, the times
  // for all.
  virtual void SetLimits(const HttpServerLimits& aLimits) = 0;

  // From now on every response ends its connection, so that callers move to
  // other hosts; new connections are still served.
  virtual void CloseAfterResponses() = 0;

  // Graceful stop: accepts no further connections, answers no further request
  // on the open ones (Connection: close), and lets running exchanges finish.
  virtual void StopAccepting() = 0;

  // Requests whose response is not complete.
  virtual int RunningExchanges() const = 0;
  virtual int OpenConnections() const = 0;
};

} // namespace filbertbeam
