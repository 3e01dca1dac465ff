#pragma once

#include "http/HttpMessage.h"

#include <string_view>

namespace filbertbeam {

// Where a client found bytes of a server that belong to no open exchange, for
// example a second copy of an earlier response.
enum class StrayBytesPlace
{
  // No exchange was open on the connection.
  Idle,
  // A response to another request came before the expected one.
  BeforeResponse,
  // Within the body of a response.
  WithinResponse,
  // Bytes followed a whole response.
  AfterResponse,
};

// Returns a lower-case name for logs.
std::string_view
ToString(StrayBytesPlace aPlace);

// The connection that carries an exchange, and the exchange's place on it.
struct ConnectionUse
{
  // Unique within the client.
  std::uint64_t connectionNumber = 0;
  // 1 for the first exchange of a connection.
  std::uint64_t exchangeNumber = 0;
};

struct StrayBytes
{
  Endpoint server;
  // The open exchange or, on an idle connection, the last one.
  ConnectionUse use;
  StrayBytesPlace place = StrayBytesPlace::Idle;
};

} // namespace filbertbeam
