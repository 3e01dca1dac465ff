#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// A fault of some input, with its place.
struct Finding
{
  // File, flag or environment variable.
  std::string source;
  // Line from 1, or 0 where the source has no lines.
  int line = 0;
  // Path of the field, for example "services[2].floor".
  std::string field;
  std::string message;
};

// Faults of one input, collected so that a user sees all of them at once.
class Findings
{
public:
  void Add(Finding aFinding);

  bool IsEmpty() const { return items_.empty(); }
  const std::vector<Finding>& Items() const { return items_; }

  // One line per finding: "source:line: field: message".
  std::string Format() const;

private:
  std::vector<Finding> items_;
};

} // namespace filbertbeam
