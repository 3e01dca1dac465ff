#include "configuration/ConfigurationFetch.h"

#include <utility>

namespace filbertbeam {

namespace {

// Parallel requests hide the round-trip time between failure domains; the limit
// keeps them from overloading a busy peer.
constexpr int kMaxOpenRequests = 8;

} // namespace

std::shared_ptr<ConfigurationFetch>
ConfigurationFetch::Create(const Clock& aClock,
                           std::shared_ptr<ConfigurationSource> aSource,
                           std::uint64_t aAboveRevision,
                           std::shared_ptr<Parts> aParts,
                           WorkRunner aRunner)
{
  return std::shared_ptr<ConfigurationFetch>(
    new ConfigurationFetch(aClock,
                           std::move(aSource),
                           aAboveRevision,
                           std::move(aParts),
                           std::move(aRunner)));
}

ConfigurationFetch::ConfigurationFetch(
  const Clock& aClock,
  std::shared_ptr<ConfigurationSource> aSource,
  std::uint64_t aAboveRevision,
  std::shared_ptr<Parts> aParts,
  WorkRunner aRunner)
  : clock_(aClock)
  , source_(std::move(aSource))
  , aboveRevision_(aAboveRevision)
  , parts_(std::move(aParts))
  , runner_(std::move(aRunner))
  , startedAt_(aClock.Now())
  , lastProgressAt_(startedAt_)
{
}

void
ConfigurationFetch::Start(std::optional<std::string> aHeadText,
                          Callback aCallback)
{
  callback_ = std::move(aCallback);
  if (aHeadText) {
    OnHead(*aHeadText);
    return;
  }
  source_->FetchHead(
    [weak = weak_from_this()](const ConfigurationSource::Response& aResponse) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      self->lastProgressAt_ = self->clock_.Now();
      if (aResponse.text) {
        self->OnHead(*aResponse.text);
      } else {
        self->Fail(aResponse.reason);
      }
    });
}

void
ConfigurationFetch::OnHead(const std::string& aText)
{
  std::string reason;
  std::optional<ConfigurationHead> head =
    ConfigurationHead::Parse(aText, reason);
  if (!head) {
    Fail(std::move(reason));
    return;
  }
  if (head->Revision() <= aboveRevision_) {
    Fail("has no greater revision", true);
    return;
  }
  head_ = std::move(*head);
  headText_ = aText;
  RequestParts();
}

void
ConfigurationFetch::RequestParts()
{
  // A source may respond during the call. The outer loop then continues, so
  // that the calls do not nest once per part.
  if (isRequesting_) {
    return;
  }
  isRequesting_ = true;
  while (callback_ && nextPart_ < head_.parts.size() &&
         openRequests_ < kMaxOpenRequests) {
    const ConfigurationPartReference& reference = head_.parts[nextPart_++];
    if (parts_->contains(reference.sha256)) {
      continue;
    }
    ++openRequests_;
    source_->FetchPart(reference.sha256,
                       [weak = weak_from_this(), reference](
                         const ConfigurationSource::Response& aResponse) {
                         if (const auto self = weak.lock()) {
                           self->OnPart(reference, aResponse);
                         }
                       });
  }
  isRequesting_ = false;
  if (callback_ && openRequests_ == 0 && !isJoining_) {
    JoinParts();
  }
}

// Parsing and validating 80,000 contracts takes longer than the time after
// which other hosts consider this one unreachable, so it may run on another
// thread.
void
ConfigurationFetch::JoinParts()
{
  isJoining_ = true;
  auto result = std::make_shared<Result>();
  result->head = std::move(head_);
  result->headText = std::move(headText_);
  // A copy, since parts_ may change while the other thread reads.
  Parts needed;
  for (const ConfigurationPartReference& reference : result->head.parts) {
    needed.emplace(reference.sha256, parts_->at(reference.sha256));
  }
  const auto join = [result, needed = std::move(needed)] {
    auto content = ConfigurationParts::Join(
      result->head,
      [&needed](
        std::string_view aSha256) -> std::shared_ptr<const std::string> {
        const auto found = needed.find(aSha256);
        return found == needed.end() ? nullptr : found->second;
      },
      result->reason);
    if (content) {
      result->configuration =
        Configuration::Create(result->head.Revision(), std::move(*content));
    }
  };
  runner_(join, [weak = weak_from_this(), result] {
    if (const auto self = weak.lock()) {
      self->Finish(std::move(*result));
    }
  });
}

void
ConfigurationFetch::OnPart(const ConfigurationPartReference& aReference,
                           const ConfigurationSource::Response& aResponse)
{
  if (!callback_) {
    return;
  }
  --openRequests_;
  lastProgressAt_ = clock_.Now();
  if (!aResponse.text) {
    Fail(aResponse.reason);
    return;
  }
  std::string reason;
  if (!ConfigurationParts::Verify(aReference, *aResponse.text, reason)) {
    Fail(std::move(reason));
    return;
  }
  parts_->emplace(aReference.sha256,
                  std::make_shared<const std::string>(*aResponse.text));
  ++fetchedParts_;
  RequestParts();
}

void
ConfigurationFetch::Finish(Result aResult)
{
  if (const Callback callback = std::exchange(callback_, nullptr)) {
    callback(std::move(aResult));
  }
}

void
ConfigurationFetch::Fail(std::string aReason, bool aIsStale)
{
  Result result;
  result.reason = std::move(aReason);
  result.isStale = aIsStale;
  Finish(std::move(result));
}

} // namespace filbertbeam
