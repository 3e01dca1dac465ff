#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace filbertbeam {

// The idle connections that hosts are likely to have to one backend server, as
// its owner concludes from the attempts of all hosts. A wrong conclusion costs
// the opening of a connection.
class IdleConnections
{
public:
  // Records that an attempt of aHost took a connection, idle or new.
  void OnAttemptStarted(std::string_view aHost);
  // Records that an attempt of aHost ended with a whole response.
  void OnResponse(std::string_view aHost, Instant aNow);

  bool Has(std::string_view aHost, Instant aNow) const;

private:
  struct Connection
  {
    // Hash of the host's name.
    std::uint64_t host = 0;
    Instant idleSince;
  };

  // Ordered by time, the oldest first.
  std::vector<Connection> connections_;
};

} // namespace filbertbeam
