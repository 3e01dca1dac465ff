#pragma once

#include "cli/AdminEndpoint.h"

#include <QNetworkAccessManager>

#include <string>
#include <vector>

namespace filbertbeam {

// Reaches a daemon over HTTP, and the next of the given ones where the first
// cannot be reached.
class HttpAdminEndpoint final : public AdminEndpoint
{
public:
  // aAddresses are "IP:PORT".
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
