#pragma once

#include "base/Clock.h"
#include "http/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// What a caller states in the header fields of its request.
struct CallerHeaders
{
  std::string requestId;
  // How long the caller waits for the response, counted from when it sends the
  // request.
  std::optional<Duration> timeout;
  // SHA-256 of the caller's API key, in lower-case hexadecimal digits. Empty if
  // the request has none, several, or one that is malformed.
  std::string keySha256;
  // The request presents at least one key, which may be malformed.
  bool hasKey = false;
};

// What an attempt tells the backend server.
struct AttemptHeaders
{
  // Id of the server that the attempt is meant for.
  std::string_view server;
  // How long the gateway waits for the response.
  Duration remaining{};
  // The deployment names workspaces: the attempt must not carry a key, and no
  // name of a workspace but the following.
  bool hasWorkspaces = false;
  // Name of the request's workspace; empty without one.
  std::string_view workspace{};
};

// What a backend server states in the header fields of its response.
struct ResponseHeaders
{
  // Id of the request that the response belongs to; empty when not stated.
  std::string requestId;
  // The server states that it did not run the request.
  bool isNotExecuted = false;
  // The response carries a signature that proves that the server sent it.
  bool isSigned = false;
  // The server leaves and should get no further request.
  bool isLeaving = false;
  // The server wants no further request of this host for this time.
  std::optional<Duration> retryAfter;
};

// Reads and writes the header fields in which a deployment's callers and
// backend servers exchange request ids, time limits and outcomes.
class ExchangeHeaderCodec
{
public:
  virtual ~ExchangeHeaderCodec() = default;

  virtual CallerHeaders ReadCallerHeaders(
    const HttpRequestHead& aHead) const = 0;
  // Replaces the fields of the caller's request that differ in an attempt.
  virtual void WriteAttemptHeaders(HttpRequestHead& aHead,
                                   const AttemptHeaders& aHeaders) const = 0;
  virtual ResponseHeaders ReadResponseHeaders(
    const HttpResponseHead& aHead) const = 0;
  // Adds the request id to a response that the gateway generates itself.
  virtual void WriteLocalResponseHeaders(HttpResponseHead& aHead,
                                         std::string_view aRequestId) const = 0;
};

} // namespace filbertbeam
