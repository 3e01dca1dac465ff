#pragma once

#include "cli/CliEnvironment.h"
#include "configuration/Configuration.h"
#include "configuration/ConfigurationPublisher.h"

#include <optional>
#include <string>

namespace filbertbeam {

// The object store for a program that waits for each response.
class StoreSession
{
public:
  // Time after which a read is given up.
  static constexpr Duration kReadTimeout = std::chrono::seconds(10);

  struct InForce
  {
    // What a later publication replaces.
    ConfigurationPublisher::Base base;
    // Empty when a part cannot be read; then contentReason says why.
    std::optional<Configuration::Content> content;
    std::string contentReason;
  };

  // aEnvironment has to outlive the session and must have a store.
  explicit StoreSession(CliEnvironment& aEnvironment);

  // The accepted configuration; an empty one without head when there is none
  // yet. Returns nothing and fills aReason when the head cannot be read.
  std::optional<InForce> Read(std::string& aReason);

  ConfigurationPublisher::Outcome Publish(
    const Configuration::Content& aContent,
    const ConfigurationPublisher::Base& aBase,
    const std::string& aAuthor);

private:
  CliEnvironment& environment_;
};

} // namespace filbertbeam
