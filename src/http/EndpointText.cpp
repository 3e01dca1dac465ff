#include "http/EndpointText.h"

#include <QHostAddress>

#include <charconv>

namespace filbertbeam {

std::optional<Endpoint>
ParseEndpoint(std::string_view aText, std::string& aReason)
{
  if (aText.empty()) {
    aReason = "is not set";
    return std::nullopt;
  }
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    aReason = "has no port; write IP:PORT";
    return std::nullopt;
  }
  std::string_view address = aText.substr(0, colon);
  if (address.starts_with('[') && address.ends_with(']')) {
    address = address.substr(1, address.size() - 2);
  }
  const std::string_view portText = aText.substr(colon + 1);
  Endpoint endpoint;
  const char* end = portText.data() + portText.size();
  const auto result = std::from_chars(portText.data(), end, endpoint.port);
  if (result.ec != std::errc() || result.ptr != end) {
    aReason = "has a malformed port; write IP:PORT";
    return std::nullopt;
  }
  endpoint.address = std::string(address);
  if (QHostAddress(QString::fromStdString(endpoint.address)).isNull()) {
    aReason = "has no IP address; write IP:PORT";
    return std::nullopt;
  }
  return endpoint;
}

} // namespace filbertbeam
