#include "configuration/ConfigurationPublisher.h"

#include "configuration/RetryDelay.h"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_set>

namespace filbertbeam {

namespace {

// A first configuration of the target size has about 270 parts; the store
// handles several hundred writes per second from all its clients together.
constexpr int kMaxConcurrentPartWrites = 8;

WallTime
ToMilliseconds(WallTime aTime)
{
  return std::chrono::floor<std::chrono::milliseconds>(aTime);
}

} // namespace

ConfigurationPublisher::ConfigurationPublisher(ObjectStore& aStore,
                                               const Clock& aClock,
                                               Random& aRandom)
  : store_(aStore)
  , clock_(aClock)
  , random_(aRandom)
{
}

void
ConfigurationPublisher::Publish(const Configuration::Content& aContent,
                                Base aBase,
                                std::string aAuthor,
                                Callback aCallback)
{
  attempt_ = std::make_shared<int>();
  callback_ = std::move(aCallback);
  base_ = std::move(aBase);
  head_ = {};
  parts_.clear();
  scheduledActions_.clear();
  nextPart_ = 0;
  activePartWrites_ = 0;
  headFailures_ = 0;
  mayBeAccepted_ = false;
  lastReason_.clear();
  deadline_ = clock_.Now() + kTimeLimit;

  std::string reason;
  auto parts = ConfigurationParts::Split(aContent, reason);
  if (!parts) {
    Schedule(Duration::zero(), [this, reason] {
      Finish({ OutcomeKind::Refused, 0, {}, reason });
    });
    return;
  }
  head_.acceptance.nonce =
    fmt::format("{:016x}{:016x}", random_.Next(), random_.Next());
  head_.acceptance.author = std::move(aAuthor);
  head_.acceptance.revision = 1;
  std::unordered_set<std::string> present;
  if (base_.head) {
    head_.acceptance.revision = base_.head->Revision() + 1;
    head_.history.push_back(base_.head->acceptance);
    head_.history.insert(head_.history.end(),
                         base_.head->history.begin(),
                         base_.head->history.end());
    head_.history.resize(
      std::min(head_.history.size(), ConfigurationHead::kMaxHistory));
    for (const ConfigurationPartReference& reference : base_.head->parts) {
      present.insert(reference.sha256);
    }
  }
  for (ConfigurationPart& part : *parts) {
    head_.parts.push_back({ part.sha256, part.text->size() });
    if (!present.contains(part.sha256)) {
      parts_.push_back({ std::move(part) });
    }
  }
  if (parts_.empty()) {
    WriteHead();
  } else {
    WriteParts();
  }
}

void
ConfigurationPublisher::Tick()
{
  const Instant now = clock_.Now();
  if (attempt_ && now >= deadline_) {
    Finish({ mayBeAccepted_ ? OutcomeKind::Unknown : OutcomeKind::Unavailable,
             head_.Revision(),
             {},
             lastReason_.empty() ? "the store does not answer" : lastReason_ });
    return;
  }
  std::vector<ScheduledAction> due;
  const auto firstDue = std::partition(
    scheduledActions_.begin(),
    scheduledActions_.end(),
    [&](const ScheduledAction& aScheduled) { return aScheduled.at > now; });
  std::move(firstDue, scheduledActions_.end(), std::back_inserter(due));
  scheduledActions_.erase(firstDue, scheduledActions_.end());
  const std::weak_ptr<int> attempt = attempt_;
  for (const ScheduledAction& scheduled : due) {
    if (attempt.expired()) {
      return;
    }
    scheduled.action();
  }
}

void
ConfigurationPublisher::Schedule(Duration aDelay, std::function<void()> aAction)
{
  scheduledActions_.push_back({ clock_.Now() + aDelay, std::move(aAction) });
}

void
ConfigurationPublisher::ScheduleRetry(int aFailures,
                                      std::function<void()> aAction)
{
  Schedule(RetryDelayAfter(aFailures, random_), std::move(aAction));
}

void
ConfigurationPublisher::WriteParts()
{
  while (nextPart_ < parts_.size() &&
         activePartWrites_ < kMaxConcurrentPartWrites) {
    ++activePartWrites_;
    WritePart(nextPart_++);
  }
}

void
ConfigurationPublisher::WritePart(std::size_t aIndex)
{
  const ConfigurationPart& part = parts_[aIndex].part;
  store_.Create(ConfigurationParts::KeyOf(part.sha256),
                *part.text,
                [this, attempt = std::weak_ptr<int>(attempt_), aIndex](
                  const StoreResult<std::uint64_t>& aResult) {
                  if (!attempt.expired()) {
                    OnPartWritten(aIndex, aResult);
                  }
                });
}

void
ConfigurationPublisher::OnPartWritten(std::size_t aIndex,
                                      const StoreResult<std::uint64_t>& aResult)
{
  switch (aResult.error) {
    case StoreError::None:
      OnPartDone();
      return;
    case StoreError::Conflict:
      // The part was written by an earlier attempt, by a publisher with equal
      // content, or by this attempt in a call whose response was lost.
      CheckStoredPart(aIndex);
      return;
    case StoreError::Unavailable:
      // A part is named by its content, so writing it again is idempotent.
      lastReason_ = aResult.reason;
      ScheduleRetry(++parts_[aIndex].failures,
                    [this, aIndex] { WritePart(aIndex); });
      return;
    case StoreError::NotFound:
    case StoreError::Invalid:
      Finish({ OutcomeKind::Refused, 0, {}, aResult.reason });
      return;
  }
}

void
ConfigurationPublisher::CheckStoredPart(std::size_t aIndex)
{
  store_.Get(
    ConfigurationParts::KeyOf(parts_[aIndex].part.sha256),
    [this, attempt = std::weak_ptr<int>(attempt_), aIndex](
      const StoreResult<StoredObject>& aResult) {
      if (attempt.expired()) {
        return;
      }
      const std::string& text = *parts_[aIndex].part.text;
      if (aResult.value && aResult.value->value == text) {
        OnPartDone();
        return;
      }
      if (aResult.value) {
        // The object is damaged. Its key is the hash of the content that it has
        // to hold, so it can safely be replaced by that content.
        store_.Update(
          ConfigurationParts::KeyOf(parts_[aIndex].part.sha256),
          text,
          aResult.value->version,
          [this, attempt, aIndex](const StoreResult<std::uint64_t>& aUpdate) {
            if (!attempt.expired()) {
              OnPartWritten(aIndex, aUpdate);
            }
          });
        return;
      }
      lastReason_ = aResult.reason;
      ScheduleRetry(++parts_[aIndex].failures,
                    [this, aIndex] { WritePart(aIndex); });
    });
}

void
ConfigurationPublisher::OnPartDone()
{
  --activePartWrites_;
  WriteParts();
  // The head refers to the parts, so it is written after the last of them.
  if (activePartWrites_ == 0) {
    WriteHead();
  }
}

void
ConfigurationPublisher::WriteHead()
{
  // A retried write keeps the time of the first one, which may be the one that
  // took effect.
  if (!mayBeAccepted_) {
    head_.acceptance.acceptedAt = ToMilliseconds(clock_.WallNow());
  }
  const bool mayHaveBeenAccepted = std::exchange(mayBeAccepted_, true);
  const auto onWritten =
    [this, attempt = std::weak_ptr<int>(attempt_), mayHaveBeenAccepted](
      const StoreResult<std::uint64_t>& aResult) {
      if (!attempt.expired()) {
        mayBeAccepted_ = mayHaveBeenAccepted || !aResult.isUnsent;
        OnHeadWritten(aResult);
      }
    };
  if (base_.version == 0) {
    store_.Create(kConfigurationHeadKey, head_.Format(), onWritten);
  } else {
    store_.Update(
      kConfigurationHeadKey, head_.Format(), base_.version, onWritten);
  }
}

void
ConfigurationPublisher::OnHeadWritten(const StoreResult<std::uint64_t>& aResult)
{
  switch (aResult.error) {
    case StoreError::None:
      Finish({ OutcomeKind::Accepted, head_.Revision(), {}, {} });
      return;
    case StoreError::Conflict:
      // The conflict may be with an earlier write of this attempt whose
      // response was lost.
      ReadHeadBack();
      return;
    case StoreError::Unavailable:
      lastReason_ = aResult.reason;
      ScheduleRetry(++headFailures_, [this] { ReadHeadBack(); });
      return;
    case StoreError::NotFound:
    case StoreError::Invalid:
      Finish({ OutcomeKind::Refused, 0, {}, aResult.reason });
      return;
  }
}

void
ConfigurationPublisher::ReadHeadBack()
{
  store_.Get(kConfigurationHeadKey,
             [this, attempt = std::weak_ptr<int>(attempt_)](
               const StoreResult<StoredObject>& aResult) {
               if (!attempt.expired()) {
                 OnHeadReadBack(aResult);
               }
             });
}

void
ConfigurationPublisher::OnHeadReadBack(const StoreResult<StoredObject>& aResult)
{
  const bool isUnchanged =
    base_.version == 0
      ? aResult.error == StoreError::NotFound
      : aResult.value && aResult.value->version == base_.version;
  // Nothing has been written yet. A write of this attempt that is still in
  // transit has the same condition and the same nonce as the next one, so only
  // one of them can take effect.
  if (isUnchanged) {
    ScheduleRetry(++headFailures_, [this] { WriteHead(); });
    return;
  }
  // A smaller version than the expected one means that the read was outdated.
  if (!aResult.value || aResult.value->version < base_.version) {
    lastReason_ =
      aResult.value ? "the store reads outdated versions" : aResult.reason;
    ScheduleRetry(++headFailures_, [this] { ReadHeadBack(); });
    return;
  }
  std::string reason;
  const auto other = ConfigurationHead::Parse(aResult.value->value, reason);
  if (!other) {
    Finish({ OutcomeKind::Unknown, head_.Revision(), {}, reason });
    return;
  }
  OnOtherHead(*other);
}

void
ConfigurationPublisher::OnOtherHead(const ConfigurationHead& aOther)
{
  const std::string& nonce = head_.acceptance.nonce;
  const bool isInHistory =
    std::any_of(aOther.history.begin(),
                aOther.history.end(),
                [&](const ConfigurationAcceptance& aEarlier) {
                  return aEarlier.nonce == nonce;
                });
  if (aOther.acceptance.nonce == nonce || isInHistory) {
    Finish({ OutcomeKind::Accepted, head_.Revision(), {}, {} });
    return;
  }
  const bool historyCoversRevision =
    aOther.Revision() <= head_.Revision() ||
    std::any_of(aOther.history.begin(),
                aOther.history.end(),
                [&](const ConfigurationAcceptance& aEarlier) {
                  return aEarlier.revision == head_.Revision();
                });
  if (!historyCoversRevision) {
    Finish({ OutcomeKind::Unknown,
             head_.Revision(),
             aOther.acceptance.author,
             fmt::format("revision {} is in force, and its history does not "
                         "reach back to revision {}",
                         aOther.Revision(),
                         head_.Revision()) });
    return;
  }
  Finish({ OutcomeKind::Conflict,
           aOther.Revision(),
           aOther.acceptance.author,
           fmt::format("revision {} by {} was accepted in between",
                       aOther.Revision(),
                       aOther.acceptance.author) });
}

void
ConfigurationPublisher::Finish(const Outcome& aOutcome)
{
  attempt_.reset();
  scheduledActions_.clear();
  if (const Callback callback = std::exchange(callback_, nullptr)) {
    callback(aOutcome);
  }
}

} // namespace filbertbeam
