#include "relay/RelaySignature.h"

#include "base/Digest.h"
#include "http/ConnectionFields.h"
#include "relay/RelayFields.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <vector>

namespace filbertbeam {

namespace {

// Signed first, so that no MAC made with the fleet secret for another purpose
// is valid as a signature.
constexpr std::string_view kPurpose = "filbertbeam relay 1";
constexpr std::string_view kVersion = "1";
constexpr std::size_t kMacHexDigits = 64;
constexpr std::size_t kPartCount = 8;

template<typename Number>
bool
ParseNumber(std::string_view aText, int aBase, Number& aNumber)
{
  const char* const end = aText.data() + aText.size();
  const auto [parsedTo, error] =
    std::from_chars(aText.data(), end, aNumber, aBase);
  return error == std::errc() && parsedTo == end;
}

std::string
ToHex(std::string_view aBytes)
{
  std::string text;
  for (const char byte : aBytes) {
    fmt::format_to(
      std::back_inserter(text), "{:02x}", static_cast<unsigned char>(byte));
  }
  return text;
}

// Prefixes the part with its length, so that no two lists of parts give the
// same text.
void
AppendWithLength(std::string& aText, std::string_view aPart)
{
  fmt::format_to(std::back_inserter(aText), "{}:{}", aPart.size(), aPart);
}

std::string
BodyLength(const HttpRequestHead& aHead)
{
  switch (aHead.framing) {
    case BodyFraming::None:
      return "0";
    case BodyFraming::Length:
      return std::to_string(aHead.contentLength);
    default:
      return "chunked";
  }
}

std::string
ToLower(std::string_view aText)
{
  std::string lower(aText);
  for (char& character : lower) {
    if (character >= 'A' && character <= 'Z') {
      character = static_cast<char>(character - 'A' + 'a');
    }
  }
  return lower;
}

bool
IsSignedField(std::string_view aName)
{
  return aName.size() >= kRelayFieldPrefix.size() &&
         EqualsIgnoringCase(aName.substr(0, kRelayFieldPrefix.size()),
                            kRelayFieldPrefix) &&
         !EqualsIgnoringCase(aName, kSignatureField);
}

} // namespace

std::string
FormatRelaySignature(const RelaySignature& aSignature)
{
  return fmt::format("{};{};{:x};{};{:x};{};{};{}",
                     kVersion,
                     aSignature.entry.host,
                     aSignature.entry.incarnation,
                     aSignature.owner.host,
                     aSignature.owner.incarnation,
                     aSignature.number,
                     aSignature.wallTime,
                     aSignature.mac);
}

std::optional<RelaySignature>
ParseRelaySignature(std::string_view aText)
{
  std::vector<std::string_view> parts;
  while (parts.size() + 1 < kPartCount) {
    const auto semicolon = aText.find(';');
    if (semicolon == std::string_view::npos) {
      return std::nullopt;
    }
    parts.push_back(aText.substr(0, semicolon));
    aText.remove_prefix(semicolon + 1);
  }
  parts.push_back(aText);
  if (parts[0] != kVersion || parts[7].size() != kMacHexDigits) {
    return std::nullopt;
  }
  RelaySignature signature;
  signature.entry.host = parts[1];
  signature.owner.host = parts[3];
  signature.mac = parts[7];
  if (!ParseNumber(parts[2], 16, signature.entry.incarnation) ||
      !ParseNumber(parts[4], 16, signature.owner.incarnation) ||
      !ParseNumber(parts[5], 10, signature.number) ||
      !ParseNumber(parts[6], 10, signature.wallTime)) {
    return std::nullopt;
  }
  return signature;
}

std::string
ComputeRelayMac(std::string_view aSecret,
                const RelaySignature& aSignature,
                const HttpRequestHead& aHead)
{
  std::string text;
  AppendWithLength(text, kPurpose);
  AppendWithLength(text, aSignature.entry.host);
  AppendWithLength(text, std::to_string(aSignature.entry.incarnation));
  AppendWithLength(text, aSignature.owner.host);
  AppendWithLength(text, std::to_string(aSignature.owner.incarnation));
  AppendWithLength(text, std::to_string(aSignature.number));
  AppendWithLength(text, std::to_string(aSignature.wallTime));
  AppendWithLength(text, aHead.method);
  AppendWithLength(text, aHead.target);
  AppendWithLength(text, BodyLength(aHead));
  std::vector<std::pair<std::string, std::string_view>> fields;
  for (const HttpField& field : aHead.fields.All()) {
    if (IsSignedField(field.name)) {
      fields.emplace_back(ToLower(field.name), field.value);
    }
  }
  // Fields with different names may be reordered in transit; those with the
  // same name keep their order.
  std::stable_sort(
    fields.begin(), fields.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.first < aOther.first;
    });
  for (const auto& [name, value] : fields) {
    AppendWithLength(text, name);
    AppendWithLength(text, value);
  }
  return ToHex(HmacSha256(aSecret, text));
}

} // namespace filbertbeam
