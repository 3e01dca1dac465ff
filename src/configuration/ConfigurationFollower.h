#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "configuration/Configuration.h"
#include "configuration/ConfigurationFetch.h"
#include "configuration/ConfigurationSource.h"
#include "store/ObjectStore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace filbertbeam {

// Keeps the greatest configuration that this host could get, from the store or
// from other hosts. Never puts an equal or smaller revision in force, nor an
// incomplete one. Not thread-safe; callbacks come from Tick,
// OnRevisionReported, and answers of the store and of sources.
class ConfigurationFollower
{
public:
  // A source that does not answer for this long, or that needs longer for a
  // whole attempt, gives way to the next one.
  static constexpr Duration kResponseTimeout = std::chrono::seconds(3);
  static constexpr Duration kAttemptTimeout = std::chrono::seconds(6);
  // A host that was not heard for this long is no source any more.
  static constexpr Duration kCandidateLifetime = std::chrono::seconds(10);
  static constexpr std::chrono::milliseconds kWatchTimeout{ 30'000 };
  // Without a configuration, time to wait for other hosts before asking the
  // store; up to as much again is added at random.
  static constexpr Duration kStoreFallbackDelay = std::chrono::seconds(1);

  // A configuration that came into force.
  struct InForce
  {
    std::shared_ptr<const Configuration> configuration;
    ConfigurationAcceptance acceptance;
    // Wall time from its acceptance until it came into force on this host; 0
    // where the clocks of publisher and host disagree.
    Duration sinceAcceptance{ 0 };
    // Name of the source it came from.
    std::string source;
  };
  using Callback = std::function<void(const InForce&)>;

  // The references have to outlive the follower. aRunner reads and checks
  // whole configurations; with a BackgroundWorker, that does not keep the
  // calling thread from other duties.
  ConfigurationFollower(ObjectStore& aStore,
                        const Clock& aClock,
                        Random& aRandom,
                        Callback aCallback,
                        WorkRunner aRunner = &RunInline);

  // A watcher waits for changes at the store; others are told by hosts.
  void SetWatcher(bool aIsWatcher);

  // A host (or another source) says that it has aRevision in force. Call it
  // for every heartbeat.
  void OnRevisionReported(std::uint64_t aRevision,
                          std::shared_ptr<ConfigurationSource> aSource);

  // Runs what is due; call it about every 100 ms.
  void Tick();

  // 0 while no configuration is in force.
  std::uint64_t Revision() const { return revision_; }

  // What this host serves to others: head and parts of the configuration in
  // force. Null when there is none.
  std::shared_ptr<const std::string> HeadText() const { return headText_; }
  std::shared_ptr<const std::string> FindPart(std::string_view aSha256) const;

  // Why the last fetch or watch failed; empty when none did since the last
  // configuration came into force.
  const std::string& LastReason() const { return lastReason_; }

private:
  struct Candidate
  {
    std::shared_ptr<ConfigurationSource> source;
    std::uint64_t revision = 0;
    Instant reportedAt;
  };
  struct RetryState
  {
    int failures = 0;
    Instant notBefore;
  };

  bool IsDue(std::string_view aSource) const;
  void RecordFailure(std::string_view aSource, std::string aReason);
  void RemoveExpiredCandidates();
  void AbortSlowFetch();
  void StartFetchIfDue();
  std::shared_ptr<ConfigurationSource> PickPeer();
  bool NeedsStore() const;
  void StartFetch(std::shared_ptr<ConfigurationSource> aSource,
                  std::optional<std::string> aHeadText);
  void OnFetched(ConfigurationFetch::Result aResult);
  void PutInForce(ConfigurationFetch::Result aResult, std::string aSource);
  void WatchIfDue();
  void OnWatched(const StoreResult<StoredObject>& aResult);

  ObjectStore& store_;
  const Clock& clock_;
  Random& random_;
  Callback callback_;
  WorkRunner runner_;
  std::shared_ptr<ConfigurationSource> storeSource_;
  Instant storeNotBefore_;

  std::uint64_t revision_ = 0;
  std::shared_ptr<const std::string> headText_;
  // Parts of the configuration in force and those fetched for the next one.
  std::shared_ptr<ConfigurationFetch::Parts> parts_;

  std::map<std::string, Candidate, std::less<>> candidates_;
  std::map<std::string, RetryState, std::less<>> retries_;
  std::shared_ptr<ConfigurationFetch> fetch_;
  std::string lastReason_;

  bool isWatcher_ = false;
  // Alive while a watch waits; a late answer to an earlier one sees it gone.
  std::shared_ptr<int> watch_;
  Instant watchStartedAt_;
  std::uint64_t watchedVersion_ = 0;
  // A head that a watch has shown and that is not in force yet.
  std::optional<std::string> watchedHead_;
  std::uint64_t watchedRevision_ = 0;
};

} // namespace filbertbeam
