#pragma once

#include "http/HttpFields.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace filbertbeam {

using ByteView = std::span<const char>;

// How the end of a body is found. A response of length unknown to its sender
// is chunked; a body that ends with the connection is never forwarded so.
enum class BodyFraming
{
  None,
  Length,
  Chunked,
  // Responses of HTTP/1.0 servers only: the body ends with the connection.
  UntilClose,
};

// The fields that frame a message or belong to one connection (Content-Length,
// Transfer-Encoding, Connection, Keep-Alive, TE, Trailer, Upgrade, Proxy-*) are
// not among the fields: they are parsed into, and written from, framing and
// contentLength.
struct HttpRequestHead
{
  std::string method;
  std::string target;
  HttpFields fields;
  BodyFraming framing = BodyFraming::None;
  // Bytes; meaningful with BodyFraming::Length.
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
