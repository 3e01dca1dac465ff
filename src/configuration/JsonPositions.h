#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// The lines of the values of a JSON text. QJsonDocument keeps neither the lines
// nor duplicate fields.
class JsonPositions
{
public:
  // One value. The children of an array or object are adjacent.
  struct Node
  {
    int line = 0;
    std::uint32_t firstChild = 0;
    std::uint32_t childCount = 0;
    // Name of the field of the enclosing object, without escapes.
    std::string_view name;
  };

  // aText has to outlive the object. Returns nothing if aText is not JSON or is
  // nested deeper than QJsonDocument accepts.
  static std::optional<JsonPositions> Create(std::string_view aText);

  const Node& Root() const { return nodes_.back(); }
  const Node& Child(const Node& aNode, std::size_t aIndex) const
  {
    return nodes_[aNode.firstChild + aIndex];
  }

private:
  friend class JsonPositionScanner;

  // Children precede their parent; the root is the last node.
  std::vector<Node> nodes_;
  // Unescaped names; in a deque, the views on them stay valid.
  std::deque<std::string> unescapedNames_;
};

// Returns the line, counted from 1, of the byte at aOffset.
int
LineAt(std::string_view aText, std::size_t aOffset);

} // namespace filbertbeam
