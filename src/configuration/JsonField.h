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

// A JSON text with the lines of its values, and where its faults go.
struct JsonSource
{
  std::string_view name;
  const JsonPositions& positions;
  Findings& findings;
};

// One value of a JSON text with its place. The reads report what is wrong as a
// finding and then return nothing. A field refers to its parent, which has to
// outlive it.
class JsonField
{
public:
  // The value of the whole text.
  JsonField(const JsonSource& aSource, QJsonValue aValue);

  int Line() const { return node_.line; }
  // Position within a list; -1 for a field of an object.
  int Index() const { return index_; }

  void ReportFault(std::string aMessage) const;

  // True for an object; reports fields that are unknown or given twice.
  bool IsObject(std::initializer_list<std::string_view> aKnownFields) const;

  // The field of an object; reports one that is missing.
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
  // A string that is a name, see IsName.
  std::optional<std::string> Name() const;
  std::optional<bool> Boolean() const;
  std::optional<double> Number() const;
  // A whole number from aMinimum to aMaximum.
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
