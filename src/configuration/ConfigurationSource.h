#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// A source of the head and the parts of a configuration: the object store, or a
// host that has the configuration in force. Callers verify everything that it
// returns.
class ConfigurationSource
{
public:
  struct Response
  {
    std::optional<std::string> text;
    // The reason for a missing text.
    std::string reason;
  };
  // Called at most once, and never after the source is destroyed.
  using Callback = std::function<void(const Response&)>;

  virtual ~ConfigurationSource() = default;

  // Identifies the source, for retries and logs.
  virtual std::string_view Name() const = 0;

  virtual void FetchHead(Callback aCallback) = 0;
  virtual void FetchPart(std::string_view aSha256, Callback aCallback) = 0;
};

} // namespace filbertbeam
