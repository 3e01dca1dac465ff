#include "entry/RequestPath.h"

#include <string>

namespace filbertbeam {

namespace {

// Decodes percent-encoded dots, slashes and backslashes, and replaces
// backslashes by slashes. Dot segments can be found without decoding the rest.
std::string
DecodeSeparators(std::string_view aPath)
{
  std::string decoded;
  decoded.reserve(aPath.size());
  for (std::size_t i = 0; i < aPath.size(); ++i) {
    const std::string_view rest = aPath.substr(i, 3);
    if (rest == "%2e" || rest == "%2E") {
      decoded += '.';
      i += 2;
    } else if (rest == "%2f" || rest == "%2F" || rest == "%5c" ||
               rest == "%5C") {
      decoded += '/';
      i += 2;
    } else {
      decoded += aPath[i] == '\\' ? '/' : aPath[i];
    }
  }
  return decoded;
}

} // namespace

std::optional<std::string_view>
RoutablePath(std::string_view aTarget)
{
  if (!aTarget.starts_with('/')) {
    return std::nullopt;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  const std::string decoded = DecodeSeparators(path) + '/';
  if (decoded.find("/../") != std::string::npos ||
      decoded.find("/./") != std::string::npos) {
    return std::nullopt;
  }
  return path;
}

} // namespace filbertbeam
