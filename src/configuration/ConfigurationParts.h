#pragma once

#include "configuration/Configuration.h"
#include "configuration/ConfigurationHead.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// An immutable piece of a configuration, named by its content.
struct ConfigurationPart
{
  std::string sha256;
  std::shared_ptr<const std::string> text;
};

// Splits a configuration into parts, and verifies and joins them again.
class ConfigurationParts
{
public:
  using Lookup =
    std::function<std::shared_ptr<const std::string>(std::string_view aSha256)>;

  // Returns nothing and fills aReason when one item is larger than an object
  // of the store.
  static std::optional<std::vector<ConfigurationPart>> Split(
    const Configuration::Content& aContent,
    std::string& aReason);

  // Returns nothing and fills aReason when a part is missing, does not match
  // its reference, or is no valid configuration. The content is sorted as by
  // ConfigurationWriter.
  static std::optional<Configuration::Content> Join(
    const ConfigurationHead& aHead,
    const Lookup& aLookup,
    std::string& aReason);

  // False with a reason when aText is not the part that is referred to.
  static bool Verify(const ConfigurationPartReference& aReference,
                     std::string_view aText,
                     std::string& aReason);

  // Key of the part in the object store.
  static std::string KeyOf(std::string_view aSha256);
};

} // namespace filbertbeam
