#include "http/HostField.h"

namespace filbertbeam {

std::string_view
HostWithoutPort(std::string_view aHostField)
{
  // An IPv6 address contains colons and is enclosed in brackets.
  if (aHostField.starts_with('[')) {
    return aHostField.substr(0, aHostField.find(']') + 1);
  }
  return aHostField.substr(0, aHostField.find(':'));
}

} // namespace filbertbeam
