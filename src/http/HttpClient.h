#pragma once

#include "http/HttpMessage.h"
#include "http/StrayBytes.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

enum class HttpFailureKind
{
  // No connection could be opened: it was refused or timed out, or the server
  // was unreachable.
  Connect,
  // The connection was closed or failed before the whole response arrived.
  Closed,
  // The received bytes are not a valid HTTP response.
  Malformed,
  Cancelled,
};

struct HttpFailure
{
  HttpFailureKind kind = HttpFailureKind::Connect;
  // True once at least one byte of the request was passed to the operating
  // system: from then on the server may have received the request.
  bool anyByteSent = false;
  std::string reason;
};

// Receives the events of one client exchange. The exchange holds a shared
// reference until OnResponseEnd or OnExchangeFailed.
class HttpResponseObserver
{
public:
  virtual ~HttpResponseObserver() = default;

  // Called after the last byte of the request was passed to the operating
  // system.
  virtual void OnRequestSent() = 0;
  // Called when the number of unsent request bytes falls to the low watermark
  // after it reached the high watermark.
  virtual void OnRequestWritable() = 0;
  // Returns false for a response that belongs to another request, for example a
  // late response to an earlier request of the connection. The client skips it
  // and waits for the next response.
  virtual bool IsOwnResponse(const HttpResponseHead& aHead);
  // Returns the id of the request that a response states it belongs to, empty
  // if it states none.
  virtual std::string RequestIdOf(const HttpResponseHead& aHead) const;
  // Returns true if the head bears a mark that only the responses of servers
  // bear, so that it is no text about HTTP.
  virtual bool HasServerMark(const HttpResponseHead& aHead) const;
  // Returns false if the connection must carry no other request after this
  // response.
  virtual bool AllowsReuseAfter(const HttpResponseHead& aHead) const;
  virtual void OnResponseHead(const HttpResponseHead& aHead) = 0;
  virtual void OnResponseBody(ByteView aBytes) = 0;
  // Called after the whole response arrived; the last event.
  virtual void OnResponseEnd() = 0;
  // Called as the last event instead of OnResponseEnd if the exchange fails.
  virtual void OnExchangeFailed(const HttpFailure& aFailure) = 0;
};

// One request and its response, as seen by the client.
class HttpClientExchange
{
public:
  virtual ~HttpClientExchange() = default;

  virtual ConnectionUse Connection() const = 0;
  // False if no request with this id was sent on the connection, this one
  // included. Always false after the exchange has ended.
  virtual bool MayHaveCarried(std::string_view aRequestId) const = 0;

  virtual void SendBody(ByteView aBytes) = 0;
  // Marks the request body as complete.
  virtual void FinishBody() = 0;

  virtual void PauseResponseBody() = 0;
  virtual void ResumeResponseBody() = 0;

  // Closes the connection. The event loop then calls OnExchangeFailed with
  // HttpFailureKind::Cancelled; no other event precedes it.
  virtual void Cancel() = 0;

  // True once at least one byte of the request was passed to the operating
  // system.
  virtual bool AnyByteSent() const = 0;
  virtual std::size_t UnsentBytes() const = 0;
};

struct HttpClientOptions
{
  // Opens a new connection even if an idle one exists, so that a stale
  // connection cannot leave the outcome of a request unknown.
  bool freshConnection = false;
  std::chrono::milliseconds connectTimeout{ 1'000 };
  // The id by which servers name this request in their responses, if they do.
  // A connection that has carried a request with this id is not used, since a
  // late copy of the response to it would be taken for that to this request.
  // An empty id is an id as well. With an id, the body of the response is
  // searched for late copies.
  std::optional<std::string> requestId = std::nullopt;
};

struct HttpClientLimits
{
  std::size_t headBytes = 64 * 1024;
  // Number of idle connections kept per endpoint, and how long each is kept.
  int idleConnections = 8;
  std::chrono::milliseconds idleTimeout{ 30'000 };
  std::size_t highWatermark = 256 * 1024;
  std::size_t lowWatermark = 64 * 1024;
  // For this time after a server sent stray bytes, its connections carry one
  // exchange each: no later exchange can then receive the bytes that follow.
  std::chrono::milliseconds strayBytesMemory{ 10'000 };
  // If greater than 0, a connection fails when its peer has not answered
  // keep-alive probes or acknowledged data for about this long.
  std::chrono::seconds unresponsivePeerTimeout{ 0 };
};

// An HTTP/1.1 client that sends every request at most once and never retries by
// itself. A connection carries one exchange at a time. A late copy of an
// earlier response is recognised by IsOwnResponse, and within the body of the
// next one by RequestIdOf; the response is then a failure. Not thread-safe;
// runs on the event loop of the thread that creates it.
class HttpClient
{
public:
  virtual ~HttpClient() = default;

  using StrayBytesHandler = std::function<void(const StrayBytes&)>;

  // aHandler may be empty; it must not use the client.
  static std::unique_ptr<HttpClient> Create(const HttpClientLimits& aLimits,
                                            StrayBytesHandler aHandler = {});

  // Starts an exchange. The event loop delivers the events, never during this
  // call. The head is sent with the given fields; Host is added if it is
  // missing.
  virtual std::shared_ptr<HttpClientExchange> Start(
    const Endpoint& aServer,
    const HttpRequestHead& aHead,
    const HttpClientOptions& aOptions,
    std::shared_ptr<HttpResponseObserver> aObserver) = 0;

  // Closes the idle connections to aServer.
  virtual void CloseIdleConnections(const Endpoint& aServer) = 0;

  virtual int OpenConnections(const Endpoint& aServer) const = 0;
};

} // namespace filbertbeam
