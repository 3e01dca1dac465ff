#include "configuration/JsonField.h"

#include "configuration/ConfigurationText.h"
#include "configuration/Suggestion.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>
#include <vector>

namespace filbertbeam {

namespace {

std::string_view
TypeName(QJsonValue::Type aType)
{
  switch (aType) {
    case QJsonValue::Bool:
      return "true or false";
    case QJsonValue::Double:
      return "a number";
    case QJsonValue::String:
      return "a string";
    case QJsonValue::Array:
      return "a list";
    case QJsonValue::Object:
      return "an object";
    case QJsonValue::Null:
    case QJsonValue::Undefined:
      break;
  }
  return "null";
}

std::string
Join(std::string aPath, std::string_view aName)
{
  if (!aPath.empty()) {
    aPath += '.';
  }
  return aPath += aName;
}

} // namespace

JsonField::JsonField(const JsonSource& aSource, QJsonValue aValue)
  : JsonField(aSource, aSource.positions.Root(), std::move(aValue), nullptr)
{
}

JsonField::JsonField(const JsonSource& aSource,
                     const JsonPositions::Node& aNode,
                     QJsonValue aValue,
                     const JsonField* aParent)
  : source_(aSource)
  , node_(aNode)
  , value_(std::move(aValue))
  , parent_(aParent)
{
}

void
JsonField::ReportFault(std::string aMessage) const
{
  ReportFault(node_.line, Path(), std::move(aMessage));
}

bool
JsonField::IsObject(std::initializer_list<std::string_view> aKnownFields) const
{
  if (!HasType(QJsonValue::Object)) {
    return false;
  }
  // Uses a set only where the linear search would take quadratic time on large
  // input.
  constexpr std::size_t kMaxLinearSearchFields = 16;
  const bool useLinearSearch = node_.childCount <= kMaxLinearSearchFields;
  std::unordered_set<std::string_view> seen;
  for (std::size_t i = 0; i < node_.childCount; ++i) {
    const JsonPositions::Node& child = source_.positions.Child(node_, i);
    const bool isDuplicate =
      useLinearSearch ? IsDuplicateField(i) : !seen.insert(child.name).second;
    const bool isKnown =
      std::find(aKnownFields.begin(), aKnownFields.end(), child.name) !=
      aKnownFields.end();
    if (isKnown && !isDuplicate) {
      continue;
    }
    ReportFault(child.line,
                Join(Path(), EscapeForDisplay(child.name)),
                isDuplicate
                  ? "is given twice"
                  : "is not a known field" +
                      SuggestName(child.name, std::vector(aKnownFields)));
  }
  return true;
}

std::optional<JsonField>
JsonField::Required(std::string_view aName) const
{
  std::optional<JsonField> field = Optional(aName);
  if (!field) {
    ReportFault(node_.line, Join(Path(), aName), "is missing");
  }
  return field;
}

std::optional<JsonField>
JsonField::Optional(std::string_view aName) const
{
  // QJsonObject keeps the last of several fields with the same name, so the
  // search runs backwards.
  for (std::size_t i = node_.childCount; i-- > 0;) {
    const JsonPositions::Node& child = source_.positions.Child(node_, i);
    if (child.name == aName) {
      return JsonField(source_,
                       child,
                       object_.value(QLatin1StringView(
                         aName.data(), static_cast<qsizetype>(aName.size()))),
                       this);
    }
  }
  return std::nullopt;
}

bool
JsonField::IsEmptyList() const
{
  return value_.type() == QJsonValue::Array && node_.childCount == 0;
}

std::optional<std::string>
JsonField::String() const
{
  if (!HasType(QJsonValue::String)) {
    return std::nullopt;
  }
  return value_.toString().toStdString();
}

std::optional<std::string>
JsonField::Name() const
{
  std::optional<std::string> text = String();
  if (text && !IsName(*text)) {
    ReportFault(fmt::format("must be 1 to {} letters, digits, '.', '_', '-' or "
                            "'@', and start with a letter or digit",
                            kMaxNameLength));
    return std::nullopt;
  }
  return text;
}

std::optional<bool>
JsonField::Boolean() const
{
  if (!HasType(QJsonValue::Bool)) {
    return std::nullopt;
  }
  return value_.toBool();
}

std::optional<double>
JsonField::Number() const
{
  if (!HasType(QJsonValue::Double)) {
    return std::nullopt;
  }
  return value_.toDouble();
}

std::optional<int>
JsonField::Integer(int aMinimum, int aMaximum) const
{
  const std::optional<double> number = Number();
  if (!number) {
    return std::nullopt;
  }
  if (!(*number >= aMinimum && *number <= aMaximum) ||
      *number != std::floor(*number)) {
    ReportFault(
      fmt::format("must be a whole number from {} to {}", aMinimum, aMaximum));
    return std::nullopt;
  }
  return static_cast<int>(*number);
}

bool
JsonField::IsDuplicateField(std::size_t aIndex) const
{
  const std::string_view name = source_.positions.Child(node_, aIndex).name;
  for (std::size_t i = 0; i < aIndex; ++i) {
    if (source_.positions.Child(node_, i).name == name) {
      return true;
    }
  }
  return false;
}

std::string
JsonField::Path() const
{
  if (!parent_) {
    return {};
  }
  if (index_ >= 0) {
    return fmt::format("{}[{}]", parent_->Path(), index_);
  }
  return Join(parent_->Path(), node_.name);
}

bool
JsonField::HasType(QJsonValue::Type aType) const
{
  if (value_.type() == aType) {
    return true;
  }
  ReportFault(fmt::format(
    "must be {}, not {}", TypeName(aType), TypeName(value_.type())));
  return false;
}

void
JsonField::ReportFault(int aLine, std::string aPath, std::string aMessage) const
{
  source_.findings.Add({ std::string(source_.name),
                         aLine,
                         std::move(aPath),
                         std::move(aMessage) });
}

} // namespace filbertbeam
