#pragma once

#include "http/HttpMessage.h"

#include <chrono>
#include <memory>
#include <string>

namespace filbertbeam {

enum class HttpFailureKind
{
  // Refused, unreachable or timed out before a connection was open.
  Connect,
  // The connection closed or broke before a whole response arrived.
  Closed,
  // The bytes received are no HTTP response.
  Malformed,
  Cancelled,
};

struct HttpFailure
{
  HttpFailureKind kind = HttpFailureKind::Connect;
  // True as soon as one byte of the request was handed to the operating
  // system: from then on the server may have seen the request.
  bool anyByteSent = false;
  std::string reason;
};

// Receives the events of one client exchange. The exchange holds a shared
// reference until OnResponseEnd or OnExchangeFailed.
class HttpResponseObserver
{
public:
  virtual ~HttpResponseObserver() = default;

  // The last byte of the request was handed to the operating system.
  virtual void OnRequestSent() = 0;
  // Unsent request bytes fell below the low watermark again.
  virtual void OnRequestWritable() = 0;
  // False for a response that belongs to another request, such as a late one
  // to an earlier request of the connection. It is passed over, and the next
  // response is awaited.
  virtual bool IsOwnResponse(const HttpResponseHead& aHead);
  virtual void OnResponseHead(const HttpResponseHead& aHead) = 0;
  virtual void OnResponseBody(ByteView aBytes) = 0;
  // The whole response arrived; the last event.
  virtual void OnResponseEnd() = 0;
  // The last event in place of OnResponseEnd.
  virtual void OnExchangeFailed(const HttpFailure& aFailure) = 0;
};

// The client's side of one request and its response.
class HttpClientExchange
{
public:
  virtual ~HttpClientExchange() = default;

  virtual void SendBody(ByteView aBytes) = 0;
  // The request body is complete.
  virtual void FinishBody() = 0;

  virtual void PauseResponseBody() = 0;
  virtual void ResumeResponseBody() = 0;

  // Closes the connection. OnExchangeFailed follows from the event loop with
  // HttpFailureKind::Cancelled; no other event comes before it.
  virtual void Cancel() = 0;

  // True as soon as one byte of the request was handed to the operating
  // system.
  virtual bool AnyByteSent() const = 0;
  virtual std::size_t UnsentBytes() const = 0;
};

struct HttpClientOptions
{
  // Opens a new connection even when an idle one exists, so that a stale
  // connection cannot leave the outcome of a request unknown.
  bool freshConnection = false;
  std::chrono::milliseconds connectTimeout{ 1'000 };
};

struct HttpClientLimits
{
  std::size_t headBytes = 64 * 1024;
  // Idle connections kept per endpoint, and for how long.
  int idleConnections = 8;
  std::chrono::milliseconds idleTimeout{ 30'000 };
  std::size_t highWatermark = 256 * 1024;
  std::size_t lowWatermark = 64 * 1024;
  // With a value, a connection whose peer does not answer keep-alive probes or
  // acknowledge data for about this long is taken as broken.
  std::chrono::seconds unresponsivePeerTimeout{ 0 };
};

// Sends every request exactly once: it never sends a request again by itself.
// One exchange at a time uses a connection, so responses cannot be crossed.
// Not thread-safe; works on the event loop of the thread that creates it.
class HttpClient
{
public:
  virtual ~HttpClient() = default;

  static std::unique_ptr<HttpClient> Create(const HttpClientLimits& aLimits);

  // Starts an exchange. Events come from the event loop, never during this
  // call. The head is sent with the fields given; a missing Host is added.
  virtual std::shared_ptr<HttpClientExchange> Start(
    const Endpoint& aServer,
    const HttpRequestHead& aHead,
    const HttpClientOptions& aOptions,
    std::shared_ptr<HttpResponseObserver> aObserver) = 0;

  virtual int OpenConnections(const Endpoint& aServer) const = 0;
};

} // namespace filbertbeam
