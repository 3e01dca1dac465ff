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

// Keeps the latest configuration that this host can fetch from the store or
// from other hosts. It puts in force only complete configurations, each with a
// greater revision than the one before. Not thread-safe. The callback is called
// during Tick and OnRevisionReported and when the store or a source responds.
class ConfigurationFollower
{
public:
  // Time without a response, and total time of an attempt, after which the
  // attempt is aborted and another source is tried.
  static constexpr Duration kResponseTimeout = std::chrono::seconds(3);
  static constexpr Duration kAttemptTimeout = std::chrono::seconds(6);
  // Time after its last report at which a host is no longer used as a source.
  static constexpr Duration kCandidateLifetime = std::chrono::seconds(10);
  // A response to a watch that was lost is noticed a few seconds later than
  // this, which leaves time to pass the change on within the propagation budget
  // of 19 s.
  static constexpr std::chrono::milliseconds kWatchTimeout{ 10'000 };
  // Time that a host without a configuration waits for other hosts before it
  // reads from the store; a random time of up to as much again is added.
  static constexpr Duration kStoreFallbackDelay = std::chrono::seconds(1);

  // A configuration that has come into force.
  struct InForce
  {
    std::shared_ptr<const Configuration> configuration;
    ConfigurationAcceptance acceptance;
    // Wall-clock time from its acceptance until it came into force on this
    // host; 0 if the difference of the clocks of publisher and host makes it
    // negative.
    Duration sinceAcceptance{ 0 };
    // Name of the source that it was fetched from.
    std::string source;
  };
  using Callback = std::function<void(const InForce&)>;

  // The references have to outlive the follower. aRunner runs the parsing and
  // validation of complete configurations; a BackgroundWorker keeps that from
  // blocking the calling thread.
  ConfigurationFollower(ObjectStore& aStore,
                        const Clock& aClock,
                        Random& aRandom,
                        Callback aCallback,
                        WorkRunner aRunner = &RunInline);

  // A watcher waits for changes at the store; other hosts learn of a change
  // from the revisions that hosts report.
  void SetWatcher(bool aIsWatcher);

  // Records that a host (or another source) reports to have aRevision in force.
  // Must be called for every heartbeat.
  void OnRevisionReported(std::uint64_t aRevision,
                          std::shared_ptr<ConfigurationSource> aSource);

  // Runs the due actions; must be called about every 100 ms.
  void Tick();

  // The revision in force; 0 if there is none.
  std::uint64_t Revision() const { return revision_; }

  // The head and the parts of the configuration in force, which this host
  // serves to others; null if there is none.
  std::shared_ptr<const std::string> HeadText() const { return headText_; }
  std::shared_ptr<const std::string> FindPart(std::string_view aSha256) const;

  // The reason of the last failed fetch or watch; empty if none has failed
  // since the last configuration came into force.
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
  // Parts of the configuration in force and parts fetched for the next one.
  std::shared_ptr<ConfigurationFetch::Parts> parts_;

  std::map<std::string, Candidate, std::less<>> candidates_;
  std::map<std::string, RetryState, std::less<>> retries_;
  std::shared_ptr<ConfigurationFetch> fetch_;
  std::string lastReason_;

  bool isWatcher_ = false;
  // Exists while a watch is pending; the callbacks hold weak references to it,
  // so that a late response to an earlier watch is ignored.
  std::shared_ptr<int> watch_;
  Instant watchStartedAt_;
  std::uint64_t watchedVersion_ = 0;
  // A head that a watch has returned and that is not in force yet.
  std::optional<std::string> watchedHead_;
  std::uint64_t watchedRevision_ = 0;
};

} // namespace filbertbeam
