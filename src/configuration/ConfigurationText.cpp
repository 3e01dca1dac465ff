#include "configuration/ConfigurationText.h"

#include "http/ConnectionFields.h"

#include <QHostAddress>

#include <fmt/format.h>

#include <algorithm>

namespace filbertbeam {

namespace {

bool
IsLetterOrDigit(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9');
}

} // namespace

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         IsLetterOrDigit(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return IsLetterOrDigit(aCharacter) || aCharacter == '.' ||
                  aCharacter == '_' || aCharacter == '-' || aCharacter == '@';
         });
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() && std::ranges::all_of(aText, IsTokenCharacter);
}

bool
IsPathPrefix(std::string_view aText)
{
  return aText.starts_with('/') && aText.size() <= kMaxPathPrefixLength &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter <= '~' && aCharacter != '?' &&
                  aCharacter != '#';
         });
}

bool
IsRouteHost(std::string_view aText)
{
  if (aText.starts_with('[') && aText.ends_with(']')) {
    const std::string inside(aText.substr(1, aText.size() - 2));
    QHostAddress address;
    return address.setAddress(QString::fromStdString(inside)) &&
           address.protocol() == QAbstractSocket::IPv6Protocol;
  }
  return aText.size() <= 253 &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return IsLetterOrDigit(aCharacter) || aCharacter == '.' ||
                  aCharacter == '-' || aCharacter == '_';
         });
}

// QHostAddress also accepts short forms such as "10.1" and scoped addresses,
// which hosts could interpret differently. The text of an IPv4 address has to
// equal the canonical form, which excludes the short forms.
bool
IsUnicastAddress(const std::string& aText)
{
  QHostAddress address;
  if (!address.setAddress(QString::fromStdString(aText)) ||
      !address.scopeId().isEmpty() || address.isMulticast() ||
      address.isBroadcast() || address == QHostAddress(QHostAddress::AnyIPv4) ||
      address == QHostAddress(QHostAddress::AnyIPv6)) {
    return false;
  }
  return address.protocol() == QAbstractSocket::IPv6Protocol ||
         address.toString().toStdString() == aText;
}

std::string
EscapeForDisplay(std::string_view aText)
{
  constexpr std::size_t kMaxShown = 64;
  std::string text;
  for (const char character : aText.substr(0, kMaxShown)) {
    const auto code = static_cast<unsigned char>(character);
    if (code < ' ' || code >= 0x7f) {
      text += fmt::format("\\x{:02x}", code);
    } else {
      text += character;
    }
  }
  return aText.size() > kMaxShown ? text + "..." : text;
}

} // namespace filbertbeam
