#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

struct WaitingRequest
{
  std::uint64_t id = 0;
  // The host that asked, and the class of requests with similar latencies.
  std::string host;
  std::string route;
  // 0 is the highest priority.
  int priority = 0;
  // Follows an attempt that failed.
  bool isRetry = false;
  Instant deadline;
  // Time for which the request is expected to occupy a slot.
  Duration work{};
  // The plan had room for the request when it came.
  bool isAccepted = false;

  // The latest time at which the request can start to meet its deadline.
  Instant LatestStart() const { return deadline - work; }
};

struct ShardRoom
{
  // Total slots of the servers that are expected to serve requests.
  int slots = 0;
  // Time that a request spends in the queue of its server.
  Duration serverDelay{};
};

struct TurnedAwayRequest
{
  std::uint64_t id = 0;
  std::string_view reason;
  // Time until there is room for a request of this priority.
  Duration retryAfter{};
};

// The requests that wait for a slot of one shard, in the order in which they
// should run. Decides which of them to turn away when not all can start in
// time.
class WaitingRequests
{
public:
  static constexpr std::size_t kMaxRequests = 512;
  static constexpr std::size_t kMaxRequestsPerHost = 64;

  void Add(WaitingRequest aRequest);
  std::span<const WaitingRequest> InOrder() const { return requests_; }
  bool IsEmpty() const { return requests_.empty(); }
  // Removes the request, which starts now.
  void OnStart(std::uint64_t aId, const ShardRoom& aRoom, Instant aNow);
  // Removes a request whose caller no longer waits.
  void Remove(std::uint64_t aId);
  // Removes and returns the requests that can't start in time.
  std::vector<TurnedAwayRequest> TurnAway(const ShardRoom& aRoom, Instant aNow);

private:
  TurnedAwayRequest TakeOut(std::size_t aIndex,
                            std::string_view aReason,
                            const ShardRoom& aRoom);
  // Time in which the shard does aWork.
  Duration TimeFor(Duration aWork, const ShardRoom& aRoom) const;
  // Returns the index of the first request that would start too late, or the
  // number of requests.
  std::size_t FindLate(const ShardRoom& aRoom, Instant aNow) const;
  // Returns the request to turn away so that the one at aLate starts earlier.
  std::size_t FindLeastCostly(std::size_t aLate) const;
  // Returns the request that exceeds a bound, or the number of requests.
  std::size_t FindOverBound() const;

  std::vector<WaitingRequest> requests_;
  // Requests of each route turned away since one of it last ran.
  std::unordered_map<std::string, int> turnedAwayByRoute_;
  // Ratio of the time in which slots become free to the expected time.
  double slowdown_ = 1;
  Instant startedAt_;
  // Requests have been waiting since startedAt_.
  bool isPaceKnown_ = false;
};

} // namespace filbertbeam
