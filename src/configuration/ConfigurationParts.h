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

// An immutable piece of a configuration, named by the hash of its content.
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

  // Returns nothing and sets aReason if one item is larger than the store's
  // limit for an object.
  static std::optional<std::vector<ConfigurationPart>> Split(
    const Configuration::Content& aContent,
    std::string& aReason);

  // Returns nothing and sets aReason if a part is missing or does not match its
  // reference, or if the parts are no valid configuration. The content is
  // sorted as by ConfigurationWriter.
  static std::optional<Configuration::Content> Join(
    const ConfigurationHead& aHead,
    const Lookup& aLookup,
    std::string& aReason);

  // Returns false and sets aReason if aText is not the part that aReference
  // names.
  static bool Verify(const ConfigurationPartReference& aReference,
                     std::string_view aText,
                     std::string& aReason);

  // Returns the key of the part in the object store.
  static std::string KeyOf(std::string_view aSha256);
};

} // namespace filbertbeam
