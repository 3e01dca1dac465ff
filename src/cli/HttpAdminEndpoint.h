#pragma once

#include "cli/AdminEndpoint.h"

#include <QNetworkAccessManager>

#include <string>
#include <vector>

namespace filbertbeam {

// Sends requests to a daemon over HTTP. Tries the given addresses in order
// until one responds.
class HttpAdminEndpoint final : public AdminEndpoint
{
public:
  // Each of aAddresses is "IP:PORT".
  HttpAdminEndpoint(std::vector<std::string> aAddresses,
                    std::string aOperatorToken);

  Response Get(const std::string& aTarget) override;

private:
  Response GetFrom(const std::string& aAddress, const std::string& aTarget);

  std::vector<std::string> addresses_;
  std::string operatorToken_;
  QNetworkAccessManager manager_;
};

} // namespace filbertbeam
