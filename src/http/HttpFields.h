#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

struct HttpField
{
  std::string name;
  std::string value;
};

// Header fields in the order of their arrival; names are case-insensitive.
class HttpFields
{
public:
  void Add(std::string_view aName, std::string_view aValue);
  // Replaces all fields of this name by a single one.
  void Set(std::string_view aName, std::string_view aValue);
  void Remove(std::string_view aName);

  // Returns the value of the first field of this name.
  std::optional<std::string_view> Find(std::string_view aName) const;
  // As Find, but returns nothing if there are several fields of this name.
  std::optional<std::string_view> FindOnly(std::string_view aName) const;

  const std::vector<HttpField>& All() const { return fields_; }

private:
  std::vector<HttpField> fields_;
};

} // namespace filbertbeam
