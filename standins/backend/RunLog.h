#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace filbertbeam {

class HttpFields;

// Counts how often each request ran, so that a test can check at-most-once
// delivery. A completely received request counts as run whatever the server did
// with it afterwards; a shed request does not.
class RunLog
{
public:
  void AddRun(const HttpFields& aFields);
  void AddShed() { ++sheds_; }
  void AddCancellation() { ++cancellations_; }

  // Returns {"runs", "sheds", "cancellations", "requests": {id: runs},
  // "keys": {key: runs}}.
  std::string ToJson() const;

private:
  std::int64_t runs_ = 0;
  std::int64_t sheds_ = 0;
  std::int64_t cancellations_ = 0;
  std::map<std::string, int> requests_;
  std::map<std::string, int> keys_;
};

} // namespace filbertbeam
