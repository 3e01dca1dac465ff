#include "balancing/SelectionService.h"

#include "base/Log.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Cancellations and repeats arrive within this time after the response.
constexpr milliseconds kCancellationTime{ 1'000 };
// Waiting requests are served at least this often: attempts that were never
// reported free their slots by age.
constexpr milliseconds kServingInterval{ 25 };

} // namespace

void
SelectionService::OfferLocally(std::uint64_t aQueryId,
                               const SelectionRequest& aRequest,
                               Callback aCallback)
{
  const auto queued = ownerQueue_.Offer(
    aRequest,
    [this, aQueryId, callback = std::move(aCallback)](
      const SelectionResult& aResult) {
      if (const auto found = FindQueued(std::nullopt, aQueryId)) {
        queuedQueries_.erase(*found);
      }
      callback(LocalOutcome(aResult, "self"));
    },
    clock_.Now());
  if (queued) {
    queuedQueries_.emplace(*queued, QueuedQuery{ aQueryId, std::nullopt });
    ScheduleServing();
  }
}

void
SelectionService::Respond(const Endpoint& aRequester,
                          std::uint64_t aQueryId,
                          const SelectionResult& aResult)
{
  if (const auto found = FindQueued(aRequester, aQueryId)) {
    queuedQueries_.erase(*found);
  }
  const Instant now = clock_.Now();
  socket_->Send(aRequester,
                EncodeSelectionMessage(
                  SelectionResponse{ aQueryId, aResult, known_, false }));
  if (aResult.selection) {
    answeredQueries_.push_back(
      { aRequester, aQueryId, aResult.selection->ticket, now });
  }
  while (!answeredQueries_.empty() &&
         now - answeredQueries_.front().respondedAt > kCancellationTime) {
    answeredQueries_.pop_front();
  }
}

void
SelectionService::RespondWaiting(const Endpoint& aRequester,
                                 std::uint64_t aQueryId)
{
  socket_->Send(
    aRequester,
    EncodeSelectionMessage(SelectionResponse{ aQueryId, {}, known_, true }));
}

std::optional<std::uint64_t>
SelectionService::FindQueued(const std::optional<Endpoint>& aRequester,
                             std::uint64_t aQueryId) const
{
  const auto found =
    std::ranges::find_if(queuedQueries_, [&](const auto& aItem) {
      return aItem.second.queryId == aQueryId &&
             aItem.second.requester == aRequester;
    });
  return found == queuedQueries_.end() ? std::nullopt
                                       : std::optional(found->first);
}

bool
SelectionService::CancelQueued(const std::optional<Endpoint>& aRequester,
                               std::uint64_t aQueryId)
{
  const auto found = FindQueued(aRequester, aQueryId);
  if (!found) {
    return false;
  }
  ownerQueue_.Cancel(*found);
  queuedQueries_.erase(*found);
  return true;
}

void
SelectionService::CancelWaiting(std::uint64_t aSelectionId)
{
  if (CancelQueued(std::nullopt, aSelectionId)) {
    return;
  }
  if (const auto query = waitingQueries_.Take(aSelectionId)) {
    socket_->Send(
      query->address,
      EncodeSelectionMessage(SelectionCancellation{ aSelectionId }));
  }
}

void
SelectionService::ScheduleServing()
{
  // Later, since a selection may start an attempt of another request.
  if (!ownerQueue_.IsEmpty()) {
    servingTimer_.start(0);
  }
}

void
SelectionService::ServeWaiting()
{
  const Instant now = clock_.Now();
  for (const auto& [id, query] : queuedQueries_) {
    if (!query.requester) {
      ownerQueue_.KeepWaiting(id, now);
    }
  }
  for (const std::uint64_t silent : ownerQueue_.DropSilent(now)) {
    queuedQueries_.erase(silent);
  }
  ownerQueue_.Serve(now);
  if (!ownerQueue_.IsEmpty() && !servingTimer_.isActive()) {
    servingTimer_.start(kServingInterval);
  }
}

void
SelectionService::RepeatWaitingQueries()
{
  WaitingQueries::Due due = waitingQueries_.TakeDue(clock_.Now());
  for (const auto& [id, query] : due.toRepeat) {
    socket_->Send(
      query.address,
      EncodeSelectionMessage(SelectionQuery{ id, query.request, known_ }));
  }
  if (waitingQueries_.IsEmpty()) {
    repeatTimer_.stop();
  }
  for (const auto& [id, query] : due.givenUp) {
    ranking_.OnMissedResponse(query.owner, clock_.Now());
    socket_->Send(query.address,
                  EncodeSelectionMessage(SelectionCancellation{ id }));
    LogEvent(LogLevel::Info, "waiting_given_up", { { "owner", query.owner } });
    query.callback(SelectWithoutOwner(query.request));
  }
}

} // namespace filbertbeam
