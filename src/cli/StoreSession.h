#pragma once

#include "cli/CliEnvironment.h"
#include "configuration/Configuration.h"
#include "configuration/ConfigurationPublisher.h"

#include <optional>
#include <string>

namespace filbertbeam {

// Reads and publishes configurations in the object store; each call waits for
// its result.
class StoreSession
{
public:
  // Time without progress after which a read fails.
  static constexpr Duration kReadTimeout = std::chrono::seconds(10);

  struct InForce
  {
    // State that a later publication replaces.
    ConfigurationPublisher::Base base;
    // Empty when a part cannot be read; contentReason then says why.
    std::optional<Configuration::Content> content;
    std::string contentReason;
  };

  // aEnvironment has to outlive the session and must have a store.
  explicit StoreSession(CliEnvironment& aEnvironment);

  // Returns the accepted configuration, or an empty one without a head when
  // none has been accepted yet. Returns nothing and fills aReason when the head
  // cannot be read.
  std::optional<InForce> Read(std::string& aReason);

  ConfigurationPublisher::Outcome Publish(
    const Configuration::Content& aContent,
    const ConfigurationPublisher::Base& aBase,
    const std::string& aAuthor);

private:
  CliEnvironment& environment_;
};

} // namespace filbertbeam
