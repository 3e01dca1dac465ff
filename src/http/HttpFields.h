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

// Header fields in the order they arrived; names compare without case.
class HttpFields
{
public:
  void Add(std::string_view aName, std::string_view aValue);
  // Replaces every field of this name by one.
  void Set(std::string_view aName, std::string_view aValue);
  void Remove(std::string_view aName);

  // The first value of this name.
  std::optional<std::string_view> Find(std::string_view aName) const;

  const std::vector<HttpField>& All() const { return fields_; }

private:
  std::vector<HttpField> fields_;
};

} // namespace filbertbeam
