#include "configuration/ConfigurationFollower.h"

#include "base/Log.h"
#include "configuration/RetryDelay.h"
#include "configuration/StoreConfigurationSource.h"

#include <algorithm>
#include <utility>

namespace filbertbeam {

namespace {

// Name under which failures of the watch are counted, separately from failed
// fetches from the store.
constexpr std::string_view kWatchName = "watch";

// Time after its timeout at which a watch without a response is abandoned.
constexpr Duration kWatchGrace = std::chrono::seconds(5);

} // namespace

ConfigurationFollower::ConfigurationFollower(ObjectStore& aStore,
                                             const Clock& aClock,
                                             Random& aRandom,
                                             Callback aCallback,
                                             WorkRunner aRunner)
  : store_(aStore)
  , clock_(aClock)
  , random_(aRandom)
  , callback_(std::move(aCallback))
  , runner_(std::move(aRunner))
  , storeSource_(std::make_shared<StoreConfigurationSource>(aStore))
  , storeNotBefore_(
      aClock.Now() + kStoreFallbackDelay +
      Duration(static_cast<Duration::rep>(
        aRandom.Uniform() * static_cast<double>(kStoreFallbackDelay.count()))))
  , parts_(std::make_shared<ConfigurationFetch::Parts>())
{
}

void
ConfigurationFollower::SetWatcher(bool aIsWatcher)
{
  if (isWatcher_ == aIsWatcher) {
    return;
  }
  isWatcher_ = aIsWatcher;
  if (!isWatcher_) {
    watch_.reset();
    return;
  }
  WatchIfDue();
}

void
ConfigurationFollower::OnRevisionReported(
  std::uint64_t aRevision,
  std::shared_ptr<ConfigurationSource> aSource)
{
  if (aRevision <= revision_ || !aSource) {
    return;
  }
  std::string name(aSource->Name());
  candidates_[std::move(name)] = { std::move(aSource),
                                   aRevision,
                                   clock_.Now() };
  StartFetchIfDue();
}

void
ConfigurationFollower::Tick()
{
  RemoveExpiredCandidates();
  AbortSlowFetch();
  StartFetchIfDue();
  WatchIfDue();
}

std::shared_ptr<const std::string>
ConfigurationFollower::FindPart(std::string_view aSha256) const
{
  const auto found = parts_->find(aSha256);
  return found == parts_->end() ? nullptr : found->second;
}

bool
ConfigurationFollower::IsDue(std::string_view aSource) const
{
  const auto found = retries_.find(aSource);
  return found == retries_.end() || found->second.notBefore <= clock_.Now();
}

void
ConfigurationFollower::RecordFailure(std::string_view aSource,
                                     std::string aReason)
{
  RetryState& state = retries_[std::string(aSource)];
  ++state.failures;
  state.notBefore = clock_.Now() + RetryDelayAfter(state.failures, random_);
  lastReason_ = std::string(aSource) + ": " + std::move(aReason);
  LogEvent(LogLevel::Warning,
           "configuration-fetch-failed",
           { { "reason", lastReason_ }, { "failures", state.failures } });
}

void
ConfigurationFollower::RemoveExpiredCandidates()
{
  const Instant now = clock_.Now();
  std::erase_if(candidates_, [&](const auto& aEntry) {
    return aEntry.second.revision <= revision_ ||
           now - aEntry.second.reportedAt > kCandidateLifetime;
  });
  // Bounds the memory used for the failures of hosts that have left the fleet.
  std::erase_if(retries_, [&](const auto& aEntry) {
    return now - aEntry.second.notBefore > 2 * kMaxRetryDelay;
  });
}

void
ConfigurationFollower::AbortSlowFetch()
{
  if (!fetch_ || fetch_->IsJoining()) {
    return;
  }
  const Instant now = clock_.Now();
  const bool isUnresponsive =
    now - fetch_->LastProgressAt() >= kResponseTimeout;
  const bool isSlow = now - fetch_->StartedAt() >= kAttemptTimeout;
  if (!isUnresponsive && !isSlow) {
    return;
  }
  const std::string source(fetch_->Source().Name());
  // An attempt that fetched parts shows that the source works, and the next one
  // needs fewer parts, so earlier failures do not lengthen the delay.
  if (fetch_->FetchedParts() > 0) {
    retries_.erase(source);
  }
  fetch_.reset();
  RecordFailure(source,
                isUnresponsive ? "did not respond in time" : "is too slow");
}

std::shared_ptr<ConfigurationSource>
ConfigurationFollower::PickPeer()
{
  std::uint64_t greatest = 0;
  std::vector<std::shared_ptr<ConfigurationSource>> best;
  for (const auto& [name, candidate] : candidates_) {
    if (candidate.revision <= revision_ || !IsDue(name) ||
        candidate.revision < greatest) {
      continue;
    }
    if (candidate.revision > greatest) {
      greatest = candidate.revision;
      best.clear();
    }
    best.push_back(candidate.source);
  }
  // The choice is random so that not all hosts fetch a new revision from the
  // same host.
  return best.empty() ? nullptr : best[random_.Below(best.size())];
}

// All hosts share the store, so a host reads from it only if it has no
// configuration or if another host reports a greater revision.
bool
ConfigurationFollower::NeedsStore() const
{
  if (!IsDue(storeSource_->Name())) {
    return false;
  }
  if (revision_ == 0) {
    return clock_.Now() >= storeNotBefore_;
  }
  return std::any_of(
    candidates_.begin(), candidates_.end(), [&](const auto& aEntry) {
      return aEntry.second.revision > revision_;
    });
}

void
ConfigurationFollower::StartFetchIfDue()
{
  if (fetch_) {
    return;
  }
  if (watchedHead_ && watchedRevision_ <= revision_) {
    watchedHead_.reset();
  }
  if (watchedHead_ && IsDue(storeSource_->Name())) {
    StartFetch(storeSource_, watchedHead_);
    return;
  }
  if (auto peer = PickPeer()) {
    StartFetch(std::move(peer), std::nullopt);
    return;
  }
  if (NeedsStore()) {
    StartFetch(storeSource_, std::nullopt);
  }
}

void
ConfigurationFollower::StartFetch(std::shared_ptr<ConfigurationSource> aSource,
                                  std::optional<std::string> aHeadText)
{
  // A local reference, since the fetch may finish during Start, which resets
  // fetch_.
  const auto fetch = ConfigurationFetch::Create(
    clock_, std::move(aSource), revision_, parts_, runner_);
  fetch_ = fetch;
  fetch->Start(std::move(aHeadText),
               [this](ConfigurationFetch::Result aResult) {
                 OnFetched(std::move(aResult));
               });
}

void
ConfigurationFollower::OnFetched(ConfigurationFetch::Result aResult)
{
  const std::string source(fetch_->Source().Name());
  fetch_.reset();
  if (aResult.configuration) {
    retries_.erase(source);
    PutInForce(std::move(aResult), source);
    return;
  }
  if (aResult.isStale) {
    candidates_.erase(source);
  }
  RecordFailure(source, std::move(aResult.reason));
}

void
ConfigurationFollower::PutInForce(ConfigurationFetch::Result aResult,
                                  std::string aSource)
{
  // The fetch accepts only a greater revision than the one in force when it was
  // started; this check compares with the one in force now.
  if (aResult.head.Revision() <= revision_) {
    return;
  }
  revision_ = aResult.head.Revision();
  headText_ = std::make_shared<const std::string>(std::move(aResult.headText));
  // Drops the parts that the head does not name. This makes a new map, since an
  // aborted fetch may still hold the old one.
  auto parts = std::make_shared<ConfigurationFetch::Parts>();
  for (const ConfigurationPartReference& reference : aResult.head.parts) {
    parts->emplace(reference.sha256, parts_->at(reference.sha256));
  }
  parts_ = std::move(parts);
  lastReason_.clear();

  InForce inForce;
  inForce.configuration = std::move(aResult.configuration);
  inForce.acceptance = aResult.head.acceptance;
  inForce.sinceAcceptance =
    std::max(Duration::zero(),
             std::chrono::duration_cast<Duration>(
               clock_.WallNow() - aResult.head.acceptance.acceptedAt));
  inForce.source = std::move(aSource);
  callback_(inForce);
}

void
ConfigurationFollower::WatchIfDue()
{
  if (!isWatcher_) {
    return;
  }
  const Instant now = clock_.Now();
  if (watch_ && now - watchStartedAt_ >= kWatchTimeout + kWatchGrace) {
    watch_.reset();
    RecordFailure(kWatchName, "did not respond in time");
  }
  if (watch_ || !IsDue(kWatchName)) {
    return;
  }
  watch_ = std::make_shared<int>();
  watchStartedAt_ = now;
  store_.Watch(kConfigurationHeadKey,
               watchedVersion_,
               kWatchTimeout,
               [this, watch = std::weak_ptr<int>(watch_)](
                 const StoreResult<StoredObject>& aResult) {
                 if (!watch.expired()) {
                   OnWatched(aResult);
                 }
               });
}

void
ConfigurationFollower::OnWatched(const StoreResult<StoredObject>& aResult)
{
  watch_.reset();
  if (!aResult.value && aResult.error != StoreError::NotFound) {
    RecordFailure(kWatchName, aResult.reason);
    return;
  }
  if (!aResult.value) {
    // No configuration has been accepted yet. This counts as a failure, so that
    // a store that responds at once instead of waiting is not polled in a tight
    // loop.
    watchedVersion_ = 0;
    RecordFailure(kWatchName, aResult.reason);
    return;
  }
  std::string reason;
  const auto head = ConfigurationHead::Parse(aResult.value->value, reason);
  const bool isNewVersion = aResult.value->version > watchedVersion_;
  // The version decreases where the store was restored from an earlier state;
  // with the greater one, the watch would wait for a version that never comes.
  watchedVersion_ = aResult.value->version;
  if (!head) {
    RecordFailure(kWatchName, std::move(reason));
    return;
  }
  const bool waited =
    clock_.Now() - watchStartedAt_ >= kWatchTimeout - kWatchGrace;
  if (!isNewVersion && !waited) {
    RecordFailure(kWatchName, "responded before its timeout without a change");
    return;
  }
  retries_.erase(std::string(kWatchName));
  if (head->Revision() > revision_ && head->Revision() > watchedRevision_) {
    watchedHead_ = aResult.value->value;
    watchedRevision_ = head->Revision();
  }
  StartFetchIfDue();
  WatchIfDue();
}

} // namespace filbertbeam
