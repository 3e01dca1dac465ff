#include "configuration/JsonPositions.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>

namespace filbertbeam {

namespace {

// QJsonDocument rejects deeper nesting; the scanner recurses once per level.
constexpr int kMaxDepth = 1024;

bool
IsSpace(char aCharacter)
{
  return aCharacter == ' ' || aCharacter == '\t' || aCharacter == '\n' ||
         aCharacter == '\r';
}

bool
EndsScalar(char aCharacter)
{
  return IsSpace(aCharacter) || aCharacter == ',' || aCharacter == ']' ||
         aCharacter == '}' || aCharacter == ':';
}

std::string
Unescape(std::string_view aRaw)
{
  const QByteArray text =
    "[\"" + QByteArray(aRaw.data(), static_cast<qsizetype>(aRaw.size())) +
    "\"]";
  return QJsonDocument::fromJson(text).array().at(0).toString().toStdString();
}

} // namespace

// Scans a text that QJsonDocument has accepted, so it checks only as much as
// keeps it within the bounds of the text.
class JsonPositionScanner
{
public:
  JsonPositionScanner(std::string_view aText, JsonPositions& aPositions)
    : text_(aText)
    , positions_(aPositions)
  {
  }

  bool Run()
  {
    if (text_.starts_with("\xef\xbb\xbf")) {
      position_ = 3;
    }
    JsonPositions::Node root;
    if (!ScanValue(root, 0)) {
      return false;
    }
    positions_.nodes_.push_back(root);
    return true;
  }

private:
  // Returns the next character that is no space, or 0 at the end of the text.
  char PeekToken()
  {
    while (position_ < text_.size() && IsSpace(text_[position_])) {
      if (text_[position_] == '\n') {
        ++line_;
      }
      ++position_;
    }
    return position_ < text_.size() ? text_[position_] : '\0';
  }

  bool Consume(char aCharacter)
  {
    if (PeekToken() != aCharacter) {
      return false;
    }
    ++position_;
    return true;
  }

  // Consumes a string with its quotes; aRaw is the escaped text between them.
  bool ScanString(std::string_view& aRaw)
  {
    if (!Consume('"')) {
      return false;
    }
    const std::size_t start = position_;
    while (position_ < text_.size() && text_[position_] != '"') {
      if (text_[position_] == '\n') {
        ++line_;
      }
      position_ += text_[position_] == '\\' ? 2 : 1;
    }
    if (position_ >= text_.size()) {
      return false;
    }
    aRaw = text_.substr(start, position_ - start);
    ++position_;
    return true;
  }

  bool ScanValue(JsonPositions::Node& aNode, int aDepth)
  {
    const char first = PeekToken();
    aNode.line = line_;
    if (first == '{' || first == '[') {
      return aDepth < kMaxDepth && ScanContainer(aNode, aDepth, first == '{');
    }
    if (first == '"') {
      std::string_view raw;
      return ScanString(raw);
    }
    const std::size_t start = position_;
    while (position_ < text_.size() && !EndsScalar(text_[position_])) {
      ++position_;
    }
    return position_ > start;
  }

  bool ScanContainer(JsonPositions::Node& aNode, int aDepth, bool aIsObject)
  {
    const char end = aIsObject ? '}' : ']';
    ++position_;
    std::vector<JsonPositions::Node> children;
    if (!Consume(end)) {
      do {
        JsonPositions::Node child;
        std::string_view name;
        if (aIsObject && (!ScanString(name) || !Consume(':'))) {
          return false;
        }
        if (!ScanValue(child, aDepth + 1)) {
          return false;
        }
        child.name = name;
        if (name.find('\\') != std::string_view::npos) {
          child.name = positions_.unescapedNames_.emplace_back(Unescape(name));
        }
        children.push_back(child);
      } while (Consume(','));
      if (!Consume(end)) {
        return false;
      }
    }
    aNode.firstChild = static_cast<std::uint32_t>(positions_.nodes_.size());
    aNode.childCount = static_cast<std::uint32_t>(children.size());
    positions_.nodes_.insert(
      positions_.nodes_.end(), children.begin(), children.end());
    return true;
  }

  std::string_view text_;
  JsonPositions& positions_;
  std::size_t position_ = 0;
  int line_ = 1;
};

std::optional<JsonPositions>
JsonPositions::Create(std::string_view aText)
{
  JsonPositions positions;
  if (!JsonPositionScanner(aText, positions).Run()) {
    return std::nullopt;
  }
  return positions;
}

int
LineAt(std::string_view aText, std::size_t aOffset)
{
  const std::string_view before =
    aText.substr(0, std::min(aOffset, aText.size()));
  return 1 + static_cast<int>(std::count(before.begin(), before.end(), '\n'));
}

} // namespace filbertbeam
