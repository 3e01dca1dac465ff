#include "base/BoundedJson.h"

#include <QJsonDocument>

#include <algorithm>
#include <charconv>
#include <string>

namespace filbertbeam {

namespace {

// Far below the limit of the parser, so that a value can be sent on as a part
// of another text.
constexpr int kMaxDepth = 64;

bool
IsOpening(char aCharacter)
{
  return aCharacter == '{' || aCharacter == '[';
}

bool
IsClosing(char aCharacter)
{
  return aCharacter == '}' || aCharacter == ']';
}

// Returns the position after the string that begins at aBegin.
std::size_t
EndOfString(std::string_view aText, std::size_t aBegin)
{
  std::size_t at = aBegin + 1;
  while (at < aText.size() && aText[at] != '"') {
    at += aText[at] == '\\' ? 2 : 1;
  }
  return std::min(at + 1, aText.size());
}

// Returns the position after the object or array that begins at aBegin.
std::size_t
EndOfNested(std::string_view aText, std::size_t aBegin)
{
  std::size_t depth = 0;
  for (std::size_t at = aBegin; at < aText.size();) {
    if (aText[at] == '"') {
      at = EndOfString(aText, at);
      continue;
    }
    depth += IsOpening(aText[at]) ? 1 : 0;
    depth -= IsClosing(aText[at]) ? 1 : 0;
    ++at;
    if (depth == 0) {
      return at;
    }
  }
  return aText.size();
}

// Returns the position after the number that begins at aBegin.
std::size_t
EndOfNumber(std::string_view aText, std::size_t aBegin)
{
  const auto end = aText.find_first_not_of("0123456789+-.eE", aBegin);
  return std::min(end, aText.size());
}

bool
IsInRange(std::string_view aNumber)
{
  double value = 0;
  const auto result =
    std::from_chars(aNumber.data(), aNumber.data() + aNumber.size(), value);
  return result.ec == std::errc();
}

// Returns aText with null in place of values that cannot be represented.
std::string
ReplaceUnreadableValues(std::string_view aText)
{
  std::string text;
  std::size_t copied = 0;
  const auto replace = [&](std::size_t aBegin, std::size_t aEnd) {
    text.append(aText.substr(copied, aBegin - copied)).append("null");
    copied = aEnd;
  };
  int depth = 0;
  for (std::size_t at = 0; at < aText.size();) {
    const char character = aText[at];
    std::size_t end = at + 1;
    if (character == '"') {
      end = EndOfString(aText, at);
    } else if (IsOpening(character) && depth == kMaxDepth) {
      end = EndOfNested(aText, at);
      replace(at, end);
    } else if (IsOpening(character)) {
      ++depth;
    } else if (IsClosing(character)) {
      --depth;
    } else if (character == '-' || (character >= '0' && character <= '9')) {
      end = EndOfNumber(aText, at);
      if (!IsInRange(aText.substr(at, end - at))) {
        replace(at, end);
      }
    }
    at = end;
  }
  return text.append(aText.substr(copied));
}

} // namespace

QJsonObject
ParseBoundedJson(std::string_view aText)
{
  const QByteArray text =
    QByteArray::fromStdString(ReplaceUnreadableValues(aText));
  QJsonParseError error;
  const QJsonDocument document = QJsonDocument::fromJson(text, &error);
  if (error.error != QJsonParseError::IllegalUTF8String) {
    return document.object();
  }
  return QJsonDocument::fromJson(QString::fromUtf8(text).toUtf8()).object();
}

} // namespace filbertbeam
