#pragma once

#include <QByteArray>

#include <string>

namespace filbertbeam {

// Sends requests to the admin endpoint of a daemon.
class AdminEndpoint
{
public:
  struct Response
  {
    // 0 when no response was received; reason then says why.
    int status = 0;
    QByteArray body;
    std::string reason;
  };

  virtual ~AdminEndpoint() = default;

  // Sends a GET request for the target, for example "/status", and waits for
  // the response.
  virtual Response Get(const std::string& aTarget) = 0;
};

} // namespace filbertbeam
