#include "cli/StoreSession.h"

#include "configuration/ConfigurationFetch.h"
#include "configuration/StoreConfigurationSource.h"

#include <memory>
#include <utility>

namespace filbertbeam {

StoreSession::StoreSession(CliEnvironment& aEnvironment)
  : environment_(aEnvironment)
{
}

std::optional<StoreSession::InForce>
StoreSession::Read(std::string& aReason)
{
  const Instant deadline = environment_.clock.Now() + kReadTimeout;
  // Shared with the callback, which may run after the wait has timed out.
  const auto response =
    std::make_shared<std::optional<StoreResult<StoredObject>>>();
  environment_.store->Get(kConfigurationHeadKey,
                          [response](const StoreResult<StoredObject>& aResult) {
                            *response = aResult;
                          });
  while (!*response && environment_.clock.Now() < deadline) {
    environment_.pause();
  }
  if (!*response) {
    aReason = "the store does not answer";
    return std::nullopt;
  }
  const StoreResult<StoredObject>& stored = **response;
  if (stored.error == StoreError::NotFound) {
    return InForce{ {}, Configuration::Content{}, {} };
  }
  if (!stored.value) {
    aReason = stored.reason;
    return std::nullopt;
  }

  std::optional<ConfigurationHead> head =
    ConfigurationHead::Parse(stored.value->value, aReason);
  if (!head) {
    return std::nullopt;
  }
  InForce inForce{ { std::move(head), stored.value->version }, {}, {} };
  const auto fetched =
    std::make_shared<std::optional<ConfigurationFetch::Result>>();
  const auto fetch = ConfigurationFetch::Create(
    environment_.clock,
    std::make_shared<StoreConfigurationSource>(*environment_.store),
    0,
    std::make_shared<ConfigurationFetch::Parts>());
  fetch->Start(stored.value->value,
               [fetched](ConfigurationFetch::Result aResult) {
                 *fetched = std::move(aResult);
               });
  while (!*fetched &&
         environment_.clock.Now() < fetch->LastProgressAt() + kReadTimeout) {
    environment_.pause();
  }
  if (!*fetched) {
    inForce.contentReason = "the store does not answer";
    return inForce;
  }
  if ((*fetched)->configuration) {
    inForce.content = (*fetched)->configuration->Data();
  }
  inForce.contentReason = std::move((*fetched)->reason);
  return inForce;
}

ConfigurationPublisher::Outcome
StoreSession::Publish(const Configuration::Content& aContent,
                      const ConfigurationPublisher::Base& aBase,
                      const std::string& aAuthor)
{
  ConfigurationPublisher publisher(
    *environment_.store, environment_.clock, environment_.random);
  std::optional<ConfigurationPublisher::Outcome> outcome;
  publisher.Publish(aContent,
                    aBase,
                    aAuthor,
                    [&](const ConfigurationPublisher::Outcome& aOutcome) {
                      outcome = aOutcome;
                    });
  // The publisher finishes within its own time limit.
  while (!outcome) {
    environment_.pause();
    publisher.Tick();
  }
  return *outcome;
}

} // namespace filbertbeam
