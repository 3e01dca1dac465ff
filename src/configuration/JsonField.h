#pragma once

#include "base/Findings.h"
#include "configuration/JsonPositions.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QJsonValue>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// A JSON text with the lines of its values and the findings to which its faults
// are added.
struct JsonSource
{
  std::string_view name;
  const JsonPositions& positions;
  Findings& findings;
};

// One value of a JSON text with its location. The accessors report a fault as a
// finding and then return nothing. A field refers to its parent, which has to
// outlive it.
class JsonField
{
public:
  // Creates the field for the value of the whole text.
  JsonField(const JsonSource& aSource, QJsonValue aValue);

  int Line() const { return node_.line; }
  // Index in a list; -1 for a field of an object.
  int Index() const { return index_; }

  void ReportFault(std::string aMessage) const;

  // Returns true for an object and reports its unknown and duplicate fields.
  bool IsObject(std::initializer_list<std::string_view> aKnownFields) const;

  // Both return the named field of an object; Required reports a missing one.
  std::optional<JsonField> Required(std::string_view aName) const;
  std::optional<JsonField> Optional(std::string_view aName) const;

  bool IsEmptyList() const;

  template<typename Visit>
  void ForEachItem(Visit aVisit) const
  {
    if (!HasType(QJsonValue::Array)) {
      return;
    }
    const QJsonArray items = value_.toArray();
    for (std::size_t i = 0; i < node_.childCount; ++i) {
      JsonField item(source_,
                     source_.positions.Child(node_, i),
                     items.at(static_cast<qsizetype>(i)),
                     this);
      item.index_ = static_cast<int>(i);
      aVisit(item);
    }
  }

  std::optional<std::string> String() const;
  // Returns a string that is a valid name (see IsName).
  std::optional<std::string> Name() const;
  std::optional<bool> Boolean() const;
  std::optional<double> Number() const;
  // Returns a whole number from aMinimum to aMaximum.
  std::optional<int> Integer(int aMinimum, int aMaximum) const;

private:
  JsonField(const JsonSource& aSource,
            const JsonPositions::Node& aNode,
            QJsonValue aValue,
            const JsonField* aParent);

  bool IsDuplicateField(std::size_t aIndex) const;
  std::string Path() const;
  bool HasType(QJsonValue::Type aType) const;
  void ReportFault(int aLine, std::string aPath, std::string aMessage) const;

  const JsonSource& source_;
  const JsonPositions::Node& node_;
  QJsonValue value_;
  QJsonObject object_ = value_.toObject();
  const JsonField* parent_ = nullptr;
  int index_ = -1;
};

} // namespace filbertbeam
