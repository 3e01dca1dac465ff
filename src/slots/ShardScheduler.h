#pragma once

#include "base/Clock.h"
#include "configuration/Configuration.h"
#include "limits/RequestClass.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// A request as the owner's queue sees it.
struct ShardRequest
{
  // Unique within the process.
  std::uint64_t id = 0;
  std::string customer;
  // Requests per second that the contract promises; the weight in the queue.
  double promise = 0;
  RequestClass requestClass = RequestClass::InContract;
  bool isIdempotent = false;
  Instant deadline;
};

enum class RefusalReason
{
  // The customer's places in the queue are taken.
  QueueFull,
  // No slot became free within the longest wait.
  WaitExceeded,
  // An excess request found no spare slot.
  NoSpareSlot,
  DeadlinePassed,
  // The shard has no backend server that may take work.
  NoBackendServer,
};

struct Refusal
{
  std::uint64_t requestId = 0;
  RefusalReason reason = RefusalReason::QueueFull;
};

struct Assignment
{
  std::uint64_t requestId = 0;
  std::string backendServer;
  // A trial of an ejected backend server.
  bool isTrial = false;
};

// How one attempt on a backend server ended.
enum class AttemptResult
{
  // A response below 500 was received, whole or as far as its reader wanted.
  Success,
  // A response of 500 or above that is no shed, a broken connection, a
  // malformed response, a failure to connect, or a timeout.
  Failure,
  Shed,
  // The caller went away, or an error of ours; says nothing about the server.
  Cancelled,
};

enum class ServerState
{
  // Accepts work.
  Healthy,
  // Entered recently: its samples do not count.
  Cold,
  Ejected,
  // Ejected, and gets single trial requests.
  Trial,
  Leaving,
};

// "healthy", "cold", "ejected", "trial" or "leaving".
std::string_view
ServerStateName(ServerState aState);

// Why a backend server is in its state, for operators.
struct ServerReport
{
  std::string backendServer;
  ServerState state = ServerState::Healthy;
  int slots = 0;
  int usedSlots = 0;
  // Values of the two tests against their bounds.
  double latencyScore = 0;
  double failureScore = 0;
  double bound = 0;
  int recentEjections = 0;
  std::string lastReason;
};

struct ShardLoad
{
  int slots = 0;
  int freeSlots = 0;
  int queued = 0;
};

// Slot counts, queue, detection and ejection of one shard: all decisions of
// its owner, without sockets or timers. Not thread-safe.
class ShardScheduler
{
public:
  virtual ~ShardScheduler() = default;

  // aSeed makes ties repeatable.
  static std::unique_ptr<ShardScheduler> Create(const Service& aService,
                                                std::uint64_t aSeed);

  // Takes the shard's backend servers as configured now; servers that stay
  // keep their state. A server with isLeaving gets no new work from here on.
  virtual void SetBackendServers(
    const Service& aService,
    std::span<const BackendServer* const> aBackendServers,
    Instant aNow) = 0;

  // Queues a request, or refuses it at once. A queued request is later
  // returned by exactly one of Dispatch and Expire, unless cancelled.
  virtual std::optional<RefusalReason> Submit(const ShardRequest& aRequest,
                                              Instant aNow) = 0;

  // Takes a queued request out of the queue; false when it is not queued.
  virtual bool Cancel(std::uint64_t aRequestId) = 0;

  // Assigns queued requests to free slots. Each returned request holds its
  // slot until Complete.
  virtual std::vector<Assignment> Dispatch(Instant aNow) = 0;

  // Removes requests that waited too long. Also lets time-driven state move
  // on: unanswered requests count as slow samples, ejected servers come up
  // for trial. Call it no later than NextEvent says.
  virtual std::vector<Refusal> Expire(Instant aNow) = 0;
  virtual std::optional<Instant> NextEvent(Instant aNow) const = 0;

  // The last byte of the request went out; starts the latency sample.
  virtual void OnRequestSent(std::uint64_t aRequestId, Instant aNow) = 0;
  // The head of the response arrived; ends the latency sample.
  virtual void OnResponseHead(std::uint64_t aRequestId, Instant aNow) = 0;
  // The attempt ended and its slot is free again.
  virtual void Complete(std::uint64_t aRequestId,
                        AttemptResult aResult,
                        Instant aNow) = 0;

  virtual ShardLoad Load() const = 0;
  virtual std::vector<ServerReport> Report(Instant aNow) const = 0;
  // Grows with every change of a backend server's state, so that a caller
  // reads Report only when there is something new to log.
  virtual std::uint64_t StateChanges() const = 0;
};

} // namespace filbertbeam
