#pragma once

#include "slots/ServerSlots.h"
#include "slots/ShardScheduler.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// Baseline scheduler with one queue in order of arrival for all customers and
// classes, the same maximum wait as for in-contract requests, and no detection
// of faulty servers.
class FifoScheduler final : public ShardScheduler
{
public:
  void SetBackendServers(const Service& aService,
                         std::span<const BackendServer* const> aBackendServers,
                         Instant aNow) override;
  std::optional<RefusalReason> Submit(const ShardRequest& aRequest,
                                      Instant aNow) override;
  bool Cancel(std::uint64_t aRequestId) override;
  std::vector<Assignment> Dispatch(Instant aNow) override;
  std::vector<Refusal> Expire(Instant aNow) override;
  std::optional<Instant> NextEvent(Instant aNow) const override;
  void OnRequestSent(std::uint64_t /*aRequestId*/, Instant /*aNow*/) override {}
  void OnResponseHead(std::uint64_t /*aRequestId*/, Instant /*aNow*/) override
  {
  }
  void Complete(std::uint64_t aRequestId,
                AttemptResult aResult,
                Instant aNow) override;
  ShardLoad Load() const override { return {}; }
  std::vector<ServerReport> Report(Instant /*aNow*/) const override
  {
    return {};
  }
  std::uint64_t StateChanges() const override { return 0; }

private:
  struct QueuedRequest
  {
    std::uint64_t id = 0;
    Instant expiry;
  };

  std::map<std::string, ServerSlots> servers_;
  std::deque<QueuedRequest> queue_;
  std::unordered_map<std::uint64_t, ServerSlots*> running_;
};

} // namespace filbertbeam
