#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// An error in an input, with its location.
struct Finding
{
  // The file, flag or environment variable.
  std::string source;
  // The line number, counted from 1, or 0 if the source has no lines.
  int line = 0;
  // The path of the field, for example "services[2].floor".
  std::string field;
  std::string message;
};

// Collects the errors in an input, so that a user sees all of them at once.
class Findings
{
public:
  void Add(Finding aFinding);

  bool IsEmpty() const { return items_.empty(); }
  const std::vector<Finding>& Items() const { return items_; }

  // Returns one line per finding: "source:line: field: message".
  std::string Format() const;

private:
  std::vector<Finding> items_;
};

} // namespace filbertbeam
