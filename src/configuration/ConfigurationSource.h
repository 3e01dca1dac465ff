#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

// Something to fetch the head and the parts of a configuration from: the
// object store, or a host that has them in force. Nothing it answers is
// trusted before it is verified.
class ConfigurationSource
{
public:
  struct Response
  {
    std::optional<std::string> text;
    // Why there is no text.
    std::string reason;
  };
  // Called at most once; after the source is destroyed, not at all.
  using Callback = std::function<void(const Response&)>;

  virtual ~ConfigurationSource() = default;

  // Tells sources apart, for retries and logs.
  virtual std::string_view Name() const = 0;

  virtual void FetchHead(Callback aCallback) = 0;
  virtual void FetchPart(std::string_view aSha256, Callback aCallback) = 0;
};

} // namespace filbertbeam
