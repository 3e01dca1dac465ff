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

// A request for a shard, as its owner queues it.
struct ShardRequest
{
  // Unique within the process.
  std::uint64_t id = 0;
  std::string customer;
  // Requests per second that the contract promises; used as the weight in the
  // queue.
  double promise = 0;
  RequestClass requestClass = RequestClass::InContract;
  bool isIdempotent = false;
  Instant deadline;
};

enum class RefusalReason
{
  // The customer has as many requests queued as its promise allows.
  QueueFull,
  // No slot became free within the maximum waiting time.
  WaitExceeded,
  // No spare slot became free for an excess request.
  NoSpareSlot,
  DeadlinePassed,
  // The shard has no backend server that accepts the request.
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
  // The request is a trial of an ejected backend server.
  bool isTrial = false;
};

// How one attempt on a backend server ended.
enum class AttemptResult
{
  // A response with a status below 500 was received, completely or up to where
  // its reader stopped.
  Success,
  // A response with a status of 500 or above that is not a shed, a broken
  // connection, a malformed response, a failure to connect, or a timeout.
  Failure,
  Shed,
  // The caller disconnected, or the proxy itself had an error; says nothing
  // about the server.
  Cancelled,
};

enum class ServerState
{
  // Accepts requests.
  Healthy,
  // Was added recently; its samples do not count.
  Cold,
  Ejected,
  // Ejected, and gets one trial request at a time.
  Trial,
  Leaving,
};

// Returns "healthy", "cold", "ejected", "trial" or "leaving".
std::string_view
ServerStateName(ServerState aState);

// The state of a backend server and the reasons for it, for operators.
struct ServerReport
{
  std::string backendServer;
  ServerState state = ServerState::Healthy;
  int slots = 0;
  int usedSlots = 0;
  // Scores of the two outlier tests, and the bound from which on they find an
  // outlier.
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

// Schedules the requests of one shard: queues them, counts slots, and detects
// and ejects unhealthy backend servers. Makes all decisions of the shard's
// owner and uses neither sockets nor timers. Not thread-safe.
class ShardScheduler
{
public:
  virtual ~ShardScheduler() = default;

  // Creates a scheduler. The choice between equally loaded servers is random
  // and can be repeated with the same aSeed.
  static std::unique_ptr<ShardScheduler> Create(const Service& aService,
                                                std::uint64_t aSeed);

  // Replaces the shard's backend servers; servers that are still configured
  // keep their state. A server with isLeaving gets no further requests.
  virtual void SetBackendServers(
    const Service& aService,
    std::span<const BackendServer* const> aBackendServers,
    Instant aNow) = 0;

  // Queues a request, or refuses it at once and returns the reason. A queued
  // request is later returned by exactly one of Dispatch and Expire, unless it
  // is cancelled.
  virtual std::optional<RefusalReason> Submit(const ShardRequest& aRequest,
                                              Instant aNow) = 0;

  // Removes a queued request; returns false if it is not queued.
  virtual bool Cancel(std::uint64_t aRequestId) = 0;

  // Assigns queued requests to free slots. Each returned request holds its slot
  // until Complete is called for it.
  virtual std::vector<Assignment> Dispatch(Instant aNow) = 0;

  // Removes requests that waited too long. Also updates the state that depends
  // on time: unanswered requests are recorded as slow samples, and trials of
  // ejected servers start when due. Has to be called by the time that NextEvent
  // returns.
  virtual std::vector<Refusal> Expire(Instant aNow) = 0;
  virtual std::optional<Instant> NextEvent(Instant aNow) const = 0;

  // Records that the last byte of the request was sent, which starts the
  // latency measurement.
  virtual void OnRequestSent(std::uint64_t aRequestId, Instant aNow) = 0;
  // Records that the head of the response arrived, which ends the latency
  // measurement.
  virtual void OnResponseHead(std::uint64_t aRequestId, Instant aNow) = 0;
  // Records the end of the attempt and frees its slot.
  virtual void Complete(std::uint64_t aRequestId,
                        AttemptResult aResult,
                        Instant aNow) = 0;

  virtual ShardLoad Load() const = 0;
  virtual std::vector<ServerReport> Report(Instant aNow) const = 0;
  // Returns the number of state changes of backend servers so far, so that a
  // caller needs to read Report only if there is something new to log.
  virtual std::uint64_t StateChanges() const = 0;
};

} // namespace filbertbeam
