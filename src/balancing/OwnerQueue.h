#pragma once

#include "balancing/BackendSelector.h"
#include "balancing/WaitingRequests.h"

#include <functional>
#include <map>
#include <optional>

namespace filbertbeam {

// Selects servers for the requests of the shards that this host owns, and keeps
// those for which there is no room until a slot is free or they are turned
// away.
class OwnerQueue
{
public:
  // Receives the selection or the reason why there is none.
  using Responder = std::function<void(const SelectionResult&)>;

  // A host that asked for a selection and has not repeated its query for this
  // long has died or found a server elsewhere.
  static constexpr std::chrono::milliseconds kSilentTime{ 750 };

  explicit OwnerQueue(BackendSelector& aSelector);

  // Returns the id of the request if it has to wait. Otherwise, aResponder was
  // called before returning.
  std::optional<std::uint64_t> Offer(const SelectionRequest& aRequest,
                                     Responder aResponder,
                                     Instant aNow);
  // Notes that the host of the request still waits for it. Returns false if the
  // request does not wait.
  bool KeepWaiting(std::uint64_t aId, Instant aNow);
  void Cancel(std::uint64_t aId);
  // Removes the requests of silent hosts, without a response, and returns their
  // ids.
  std::vector<std::uint64_t> DropSilent(Instant aNow);
  // Starts the requests for which there is room, and turns away those that
  // can't start in time.
  void Serve(Instant aNow);
  bool IsEmpty() const { return entries_.empty(); }

private:
  struct Entry
  {
    std::string shard;
    SelectionRequest request;
    Responder responder;
    Instant arrivedAt;
    Instant deadline;
    Instant heardAt;
  };

  struct Response
  {
    Responder responder;
    SelectionResult result;
  };

  WaitingRequests& WaitingOf(const std::string& aShard);
  void ServeShard(const std::string& aShard,
                  Instant aNow,
                  std::vector<Response>& aResponses);
  // Starts the first of the waiting requests for which there is room.
  bool StartOne(WaitingRequests& aWaiting,
                Instant aNow,
                std::vector<Response>& aResponses);
  void TurnAwayLate(WaitingRequests& aWaiting,
                    Instant aNow,
                    std::vector<Response>& aResponses);
  static void Send(std::span<const Response> aResponses);

  BackendSelector& selector_;
  // Also shards where nothing waits any more, for what is known of their pace.
  std::map<std::string, WaitingRequests> shards_;
  std::map<std::uint64_t, Entry> entries_;
  std::uint64_t nextId_ = 1;
};

} // namespace filbertbeam
