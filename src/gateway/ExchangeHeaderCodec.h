#pragma once

#include "base/Clock.h"
#include "http/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// What a caller says of its request besides method, target and body.
struct CallerHeaders
{
  std::string requestId;
  // How long the caller waits, from its sending of the request.
  std::optional<Duration> timeout;
};

// What a backend server says of a response besides status and body.
struct ResponseHeaders
{
  // Of the request that the response belongs to; empty when not stated.
  std::string requestId;
  // The server states that it did not run the request.
  bool isNotExecuted = false;
  // The response bears the server's proof that it is its own.
  bool isSigned = false;
};

// The names under which a deployment's callers and backend servers pass on
// request ids, time limits and outcomes.
class ExchangeHeaderCodec
{
public:
  virtual ~ExchangeHeaderCodec() = default;

  virtual CallerHeaders ReadCallerHeaders(
    const HttpRequestHead& aHead) const = 0;
  // Adds to the head of an attempt which server it is meant for, and how long
  // the response is waited for.
  virtual void WriteAttemptHeaders(HttpRequestHead& aHead,
                                   std::string_view aServer,
                                   Duration aRemaining) const = 0;
  virtual ResponseHeaders ReadResponseHeaders(
    const HttpResponseHead& aHead) const = 0;
  // Names the request in a response that this system makes itself.
  virtual void WriteLocalResponseHeaders(HttpResponseHead& aHead,
                                         std::string_view aRequestId) const = 0;
};

} // namespace filbertbeam
