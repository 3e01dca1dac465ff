#include "http/ConnectionFields.h"

#include <algorithm>
#include <array>

namespace filbertbeam {

namespace {

constexpr std::array<std::string_view, 7> kConnectionFields{
  "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive", "TE",
  "Trailer",        "Upgrade",
};
constexpr std::string_view kProxyPrefix = "Proxy-";

char
ToLower(char aCharacter)
{
  return aCharacter >= 'A' && aCharacter <= 'Z'
           ? static_cast<char>(aCharacter - 'A' + 'a')
           : aCharacter;
}

std::string_view
Trim(std::string_view aText)
{
  const auto begin = aText.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(" \t") - begin + 1);
}

} // namespace

bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    [](char aOne, char aOther) {
                      return ToLower(aOne) == ToLower(aOther);
                    });
}

bool
IsTokenCharacter(char aCharacter)
{
  if ((aCharacter >= '0' && aCharacter <= '9') ||
      (aCharacter >= 'a' && aCharacter <= 'z') ||
      (aCharacter >= 'A' && aCharacter <= 'Z')) {
    return true;
  }
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return kOthers.find(aCharacter) != std::string_view::npos;
}

std::vector<std::string_view>
SplitList(std::string_view aValue)
{
  std::vector<std::string_view> members;
  while (!aValue.empty()) {
    const auto comma = aValue.find(',');
    const std::string_view member = Trim(aValue.substr(0, comma));
    if (!member.empty()) {
      members.push_back(member);
    }
    if (comma == std::string_view::npos) {
      break;
    }
    aValue.remove_prefix(comma + 1);
  }
  return members;
}

bool
IsConnectionField(std::string_view aName)
{
  if (aName.size() > kProxyPrefix.size() &&
      EqualsIgnoringCase(aName.substr(0, kProxyPrefix.size()), kProxyPrefix)) {
    return true;
  }
  return std::any_of(kConnectionFields.begin(),
                     kConnectionFields.end(),
                     [aName](std::string_view aField) {
                       return EqualsIgnoringCase(aName, aField);
                     });
}

void
RemoveConnectionFields(HttpFields& aFields)
{
  std::vector<std::string> names;
  bool hasConnectionField = false;
  for (const HttpField& field : aFields.All()) {
    if (!IsConnectionField(field.name)) {
      continue;
    }
    hasConnectionField = true;
    if (EqualsIgnoringCase(field.name, "Connection")) {
      for (const std::string_view name : SplitList(field.value)) {
        if (!EqualsIgnoringCase(name, "Host")) {
          names.emplace_back(name);
        }
      }
    }
  }
  if (!hasConnectionField) {
    return;
  }
  HttpFields kept;
  for (const HttpField& field : aFields.All()) {
    if (!IsConnectionField(field.name)) {
      kept.Add(field.name, field.value);
    }
  }
  for (const std::string& name : names) {
    kept.Remove(name);
  }
  aFields = std::move(kept);
}

} // namespace filbertbeam
