#pragma once

#include "http/HttpFields.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace filbertbeam {

using ByteView = std::span<const char>;

// How the end of a body is determined. A response whose length the sender does
// not know is chunked; a body that ends with the connection is never forwarded
// that way.
enum class BodyFraming
{
  None,
  Length,
  Chunked,
  // Only in responses of servers, typically with HTTP/1.0: the body ends with
  // the connection.
  UntilClose,
};

// Returns a lower-case name for logs.
std::string_view
ToString(BodyFraming aFraming);

// Fields that frame a message or apply to one connection only (Content-Length,
// Transfer-Encoding, Connection, Keep-Alive, TE, Trailer, Upgrade, Proxy-*) are
// not part of the member fields: they are parsed into, and written from,
// framing and contentLength.
struct HttpRequestHead
{
  std::string method;
  std::string target;
  HttpFields fields;
  BodyFraming framing = BodyFraming::None;
  // Size in bytes; only meaningful with BodyFraming::Length.
  std::uint64_t contentLength = 0;
};

struct HttpResponseHead
{
  int status = 0;
  std::string reason;
  HttpFields fields;
  BodyFraming framing = BodyFraming::None;
  std::uint64_t contentLength = 0;
};

// An IP address in text form and a TCP port.
struct Endpoint
{
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

} // namespace filbertbeam
