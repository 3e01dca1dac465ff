#include "http/EndpointText.h"

#include <QHostAddress>

#include <fmt/format.h>

#include <charconv>

namespace filbertbeam {

std::optional<std::uint16_t>
ParsePort(std::string_view aText)
{
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, port);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return port;
}

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
  const auto port = ParsePort(aText.substr(colon + 1));
  if (!port) {
    aReason = "has a malformed port; write IP:PORT";
    return std::nullopt;
  }
  const Endpoint endpoint{ std::string(address), *port };
  if (QHostAddress(QString::fromStdString(endpoint.address)).isNull()) {
    aReason = "has no IP address; write IP:PORT";
    return std::nullopt;
  }
  return endpoint;
}

std::string
FormatEndpoint(const Endpoint& aEndpoint)
{
  return aEndpoint.address.find(':') == std::string::npos
           ? fmt::format("{}:{}", aEndpoint.address, aEndpoint.port)
           : fmt::format("[{}]:{}", aEndpoint.address, aEndpoint.port);
}

} // namespace filbertbeam
