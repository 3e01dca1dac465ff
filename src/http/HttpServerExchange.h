#pragma once

#include "http/HttpMessage.h"

#include <memory>
#include <string>

namespace filbertbeam {

// Why the rest of a request body is not read.
struct RequestFailure
{
  // Status of the response to a request that has not run and never will.
  int statusIfNotRun = 408;
  // Status of the response to any other request. It does not promise that the
  // request has not run.
  int statusIfUnknown = 504;
  std::string reason;
};

// Receives the events of one request. The exchange holds a shared reference
// until OnRequestClosed, so a session that observes its exchange stays alive
// as long as it is needed.
class HttpRequestObserver
{
public:
  virtual ~HttpRequestObserver() = default;

  virtual void OnRequestBody(ByteView aBytes) = 0;
  // Called when the whole body has arrived.
  virtual void OnRequestEnd() = 0;
  // Called instead of OnRequestEnd when the rest of the body arrives too slowly
  // or is invalid. An observer that responds during this call has to end
  // whatever could still run the request first. Otherwise the server sends
  // statusIfUnknown, or closes the connection if the response has begun. The
  // connection closes after the response.
  virtual void OnRequestFailed(const RequestFailure& aFailure);
  // Called when the number of unsent response bytes falls to the low watermark
  // after it reached the high watermark.
  virtual void OnResponseWritable() = 0;
  // Called as the last event. aIsComplete is true if the whole response was
  // passed to the operating system, and false if the caller disconnected or the
  // exchange was aborted before that.
  virtual void OnRequestClosed(bool aIsComplete) = 0;
};

// One request and its response, as seen by the server. All calls and events
// happen on the thread of the server.
class HttpServerExchange
{
public:
  virtual ~HttpServerExchange() = default;

  virtual const HttpRequestHead& Request() const = 0;
  virtual const Endpoint& Peer() const = 0;

  // Pauses and resumes the delivery of the request body. While it is paused, at
  // most one read buffer of the body is held in memory.
  virtual void PauseRequestBody() = 0;
  virtual void ResumeRequestBody() = 0;

  // Call SendHead once, then SendBody any number of times, then Finish. With
  // BodyFraming::Length, Finish aborts the exchange if fewer than contentLength
  // bytes were sent.
  virtual void SendHead(const HttpResponseHead& aHead) = 0;
  virtual void SendBody(ByteView aBytes) = 0;
  virtual void Finish() = 0;

  // Closes the connection without completing the response, so that a caller
  // never mistakes a truncated response for a complete one.
  virtual void Abort() = 0;

  // Number of response bytes not yet passed to the operating system.
  virtual std::size_t UnsentBytes() const = 0;
};

// Sends a complete response with the length of its body. A response that has
// none because of its status or method keeps the framing that aHead states.
void
SendWholeResponse(HttpServerExchange& aExchange,
                  HttpResponseHead aHead,
                  std::string_view aBody);

} // namespace filbertbeam
