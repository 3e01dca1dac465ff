#include "balancing/WaitingRequests.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Latest starts within one step count as equally urgent.
constexpr milliseconds kUrgencyStep{ 100 };
constexpr milliseconds kMinRetryAfter{ 150 };
constexpr std::chrono::seconds kMaxRetryAfter{ 10 };
// Weight of one start in the pace of the shard, and the bounds of the pace.
constexpr double kPaceWeight = 0.05;
constexpr double kMinSlowdown = 0.5;
constexpr double kMaxSlowdown = 4;
// Work within a step of this factor counts as the same.
constexpr double kWorkStep = 1.5;
constexpr double kMinWorkSeconds = 0.001;
// A new request must fit the plan with this factor on the time until its start,
// so that those that wait are seldom turned away later.
constexpr double kAcceptanceMargin = 1.25;
// Bounds the memory for names of routes.
constexpr std::size_t kMaxRoutes = 256;

auto
OrderOf(const WaitingRequest& aRequest)
{
  const auto urgency =
    aRequest.LatestStart().time_since_epoch() / Duration(kUrgencyStep);
  // Ids increase, so that equal requests run in the order of their arrival.
  return std::tuple(
    aRequest.priority, aRequest.isRetry, urgency, aRequest.work, aRequest.id);
}

bool
IsSameClass(const WaitingRequest& aOne, const WaitingRequest& aOther)
{
  return aOne.priority == aOther.priority && aOne.isRetry == aOther.isRetry;
}

} // namespace

void
WaitingRequests::Add(WaitingRequest aRequest)
{
  const auto place = std::ranges::upper_bound(
    requests_, OrderOf(aRequest), std::ranges::less(), OrderOf);
  requests_.insert(place, std::move(aRequest));
}

void
WaitingRequests::OnStart(std::uint64_t aId,
                         const ShardRoom& aRoom,
                         Instant aNow)
{
  const auto found = std::ranges::find(requests_, aId, &WaitingRequest::id);
  if (found == requests_.end()) {
    return;
  }
  turnedAwayByRoute_.erase(found->route);
  const std::chrono::duration<double> expected =
    found->work / std::max(aRoom.slots, 1);
  if (isPaceKnown_ && expected.count() > 0) {
    const std::chrono::duration<double> interval = aNow - startedAt_;
    const double ratio = std::min(interval / expected, 2 * kMaxSlowdown);
    slowdown_ = std::clamp(slowdown_ + (ratio - slowdown_) * kPaceWeight,
                           kMinSlowdown,
                           kMaxSlowdown);
  }
  requests_.erase(found);
  startedAt_ = aNow;
  isPaceKnown_ = !requests_.empty();
}

void
WaitingRequests::Remove(std::uint64_t aId)
{
  std::erase_if(requests_, [aId](const WaitingRequest& aRequest) {
    return aRequest.id == aId;
  });
  isPaceKnown_ = isPaceKnown_ && !requests_.empty();
}

std::vector<TurnedAwayRequest>
WaitingRequests::TurnAway(const ShardRoom& aRoom, Instant aNow)
{
  std::vector<TurnedAwayRequest> turnedAway;
  const Instant earliestStart = aNow + aRoom.serverDelay;
  for (std::size_t i = requests_.size(); i-- > 0;) {
    if (requests_[i].LatestStart() < earliestStart) {
      turnedAway.push_back(TakeOut(i, "deadline-too-close", aRoom));
    }
  }
  for (std::size_t i = FindOverBound(); i < requests_.size();
       i = FindOverBound()) {
    turnedAway.push_back(TakeOut(i, "queue-full", aRoom));
  }
  for (std::size_t late = FindLate(aRoom, aNow); late < requests_.size();
       late = FindLate(aRoom, aNow)) {
    turnedAway.push_back(TakeOut(FindLeastCostly(late), "no-room", aRoom));
  }
  for (WaitingRequest& request : requests_) {
    request.isAccepted = true;
  }
  isPaceKnown_ = isPaceKnown_ && !requests_.empty();
  return turnedAway;
}

std::size_t
WaitingRequests::FindLate(const ShardRoom& aRoom, Instant aNow) const
{
  Duration ahead{};
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    Duration wait = aRoom.serverDelay + TimeFor(ahead, aRoom);
    if (!requests_[i].isAccepted) {
      wait = std::chrono::duration_cast<Duration>(wait * kAcceptanceMargin);
    }
    const Instant start = aNow + wait;
    if (requests_[i].LatestStart() < start) {
      return i;
    }
    ahead += requests_[i].work;
  }
  return requests_.size();
}

std::size_t
WaitingRequests::FindLeastCostly(std::size_t aLate) const
{
  const auto weigh = [this](const WaitingRequest& aRequest) {
    const auto count = turnedAwayByRoute_.find(aRequest.route);
    const int turnedAway =
      count == turnedAwayByRoute_.end() ? 0 : count->second;
    const double share =
      std::chrono::duration<double>(aRequest.work).count() / (turnedAway + 1);
    // Of requests with about the same work, the newest one loses least: its
    // caller has the most time left to return.
    return std::pair(std::floor(std::log(std::max(share, kMinWorkSeconds)) /
                                std::log(kWorkStep)),
                     aRequest.id);
  };
  std::size_t found = aLate;
  for (std::size_t i = aLate;
       i-- > 0 && IsSameClass(requests_[i], requests_[aLate]);) {
    if (weigh(requests_[i]) > weigh(requests_[found])) {
      found = i;
    }
  }
  return found;
}

std::size_t
WaitingRequests::FindOverBound() const
{
  if (requests_.size() > kMaxRequests) {
    return requests_.size() - 1;
  }
  if (requests_.size() <= kMaxRequestsPerHost) {
    return requests_.size();
  }
  std::unordered_map<std::string_view, std::size_t> counts;
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    if (++counts[requests_[i].host] > kMaxRequestsPerHost) {
      return i;
    }
  }
  return requests_.size();
}

TurnedAwayRequest
WaitingRequests::TakeOut(std::size_t aIndex,
                         std::string_view aReason,
                         const ShardRoom& aRoom)
{
  const WaitingRequest request = requests_[aIndex];
  requests_.erase(requests_.begin() + static_cast<std::ptrdiff_t>(aIndex));
  if (turnedAwayByRoute_.size() >= kMaxRoutes) {
    turnedAwayByRoute_.clear();
  }
  ++turnedAwayByRoute_[request.route];
  Duration ahead{};
  for (const WaitingRequest& other : requests_) {
    ahead += other.priority <= request.priority ? other.work : Duration{};
  }
  const Duration untilRoom = aRoom.serverDelay + TimeFor(ahead, aRoom);
  return { request.id,
           aReason,
           std::clamp<Duration>(untilRoom, kMinRetryAfter, kMaxRetryAfter) };
}

Duration
WaitingRequests::TimeFor(Duration aWork, const ShardRoom& aRoom) const
{
  return std::chrono::duration_cast<Duration>(aWork * slowdown_ /
                                              std::max(aRoom.slots, 1));
}

} // namespace filbertbeam
