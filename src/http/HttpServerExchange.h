#pragma once

#include "http/HttpMessage.h"

#include <memory>

namespace filbertbeam {

// Receives the events of one request. The exchange holds a shared reference
// until OnRequestClosed, so a session that observes its exchange stays alive
// as long as it is needed.
class HttpRequestObserver
{
public:
  virtual ~HttpRequestObserver() = default;

  virtual void OnRequestBody(ByteView aBytes) = 0;
  // The whole body has arrived.
  virtual void OnRequestEnd() = 0;
  // Called once the amount of unsent response bytes fell below the low
  // watermark after it had passed the high watermark.
  virtual void OnResponseWritable() = 0;
  // The last event. aIsComplete is true when the whole response was handed
  // to the operating system, false when the caller went away or the exchange
  // was aborted before.
  virtual void OnRequestClosed(bool aIsComplete) = 0;
};

// The server's side of one request and its response. All calls and events
// happen on the thread of the server.
class HttpServerExchange
{
public:
  virtual ~HttpServerExchange() = default;

  virtual const HttpRequestHead& Request() const = 0;
  virtual const Endpoint& Peer() const = 0;

  // Stops and restarts the delivery of the request body. While paused, at
  // most one read buffer of the body is held in memory.
  virtual void PauseRequestBody() = 0;
  virtual void ResumeRequestBody() = 0;

  // Call SendHead once, then SendBody any number of times, then Finish.
  // With BodyFraming::Length, a Finish before contentLength bytes aborts.
  virtual void SendHead(const HttpResponseHead& aHead) = 0;
  virtual void SendBody(ByteView aBytes) = 0;
  virtual void Finish() = 0;

  // Closes the connection without completing the response, so that a caller
  // never takes a truncated response for a complete one.
  virtual void Abort() = 0;

  // Response bytes not yet taken by the operating system.
  virtual std::size_t UnsentBytes() const = 0;
};

// Sends a whole response with a Content-Length.
void
SendWholeResponse(HttpServerExchange& aExchange,
                  HttpResponseHead aHead,
                  std::string_view aBody);

} // namespace filbertbeam
