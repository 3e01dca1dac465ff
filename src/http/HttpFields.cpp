#include "http/HttpFields.h"

#include "http/ConnectionFields.h"

#include <algorithm>

namespace filbertbeam {

void
HttpFields::Add(std::string_view aName, std::string_view aValue)
{
  fields_.push_back({ std::string(aName), std::string(aValue) });
}

void
HttpFields::Set(std::string_view aName, std::string_view aValue)
{
  // The arguments may refer to a field that is removed here.
  HttpField field{ std::string(aName), std::string(aValue) };
  Remove(field.name);
  fields_.push_back(std::move(field));
}

void
HttpFields::Remove(std::string_view aName)
{
  const std::string name(aName);
  std::erase_if(fields_, [&name](const HttpField& aField) {
    return EqualsIgnoringCase(aField.name, name);
  });
}

std::optional<std::string_view>
HttpFields::Find(std::string_view aName) const
{
  for (const HttpField& field : fields_) {
    if (EqualsIgnoringCase(field.name, aName)) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::optional<std::string_view>
HttpFields::FindOnly(std::string_view aName) const
{
  const auto count =
    std::ranges::count_if(fields_, [aName](const HttpField& aField) {
      return EqualsIgnoringCase(aField.name, aName);
    });
  return count == 1 ? Find(aName) : std::nullopt;
}

} // namespace filbertbeam
