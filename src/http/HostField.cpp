#include "http/HostField.h"

namespace filbertbeam {

std::string_view
HostWithoutPort(std::string_view aHostField)
{
  // The colons of an IPv6 address stand between brackets.
  if (aHostField.starts_with('[')) {
    return aHostField.substr(0, aHostField.find(']') + 1);
  }
  return aHostField.substr(0, aHostField.find(':'));
}

} // namespace filbertbeam
