#pragma once

#include <QByteArray>

#include <string>

namespace filbertbeam {

// The admin endpoint of a daemon, as the tool sees it.
class AdminEndpoint
{
public:
  struct Response
  {
    // 0 when no response came; then reason says why.
    int status = 0;
    QByteArray body;
    std::string reason;
  };

  virtual ~AdminEndpoint() = default;

  // Waits for the response to a GET of the target, for example "/status".
  virtual Response Get(const std::string& aTarget) = 0;
};

} // namespace filbertbeam
