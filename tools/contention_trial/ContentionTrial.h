#pragma once

#include "shard_model/ShardModel.h"

#include <vector>

namespace filbertbeam {

// One run of the model: customer 0 offers a multiple of its promise, the
// others offer theirs.
class ContentionTrial final : public ShardModelObserver
{
public:
  struct Setup
  {
    int servers = 7;
    int slots = 4;
    int lightCustomers = 50;
    double heavyFactor = 10;
    // Offered load as a share of the slots' capacity.
    double load = 0.9;
    double seconds = 300;
    std::uint64_t seed = 1;
    bool isFifo = false;
  };

  // Of one class of requests.
  struct ClassStatistics
  {
    int offered = 0;
    int refused = 0;
    // Waits of the served requests in seconds.
    std::vector<double> waits;

    double WaitQuantile(double aShare) const;
  };

  struct Result
  {
    double promise = 0;
    // Served requests per second in parts of the promise, by customer.
    std::vector<double> servedShares;
    // As before, offered.
    std::vector<double> offeredShares;
    ClassStatistics inContract;
    ClassStatistics excess;
    // Share of the slots' time that was in use, in all and by in-contract
    // requests.
    double utilization = 0;
    double inContractUtilization = 0;

    // Share of the slots' time left over by in-contract requests that excess
    // requests used.
    double SpareUsed() const;
  };

  static Result Run(const Setup& aSetup);

  void OnAssigned(const ModelRequest& aRequest, Instant aNow) override;
  void OnFinished(const ModelRequest& aRequest,
                  AttemptResult aResult,
                  Instant aNow) override;
  void OnRefused(const ModelRequest& aRequest,
                 RefusalReason aReason,
                 Instant aNow) override;

private:
  ClassStatistics& StatisticsOf(const ModelRequest& aRequest);

  std::vector<int> served_;
  std::vector<int> offered_;
  Result result_;
  double busySeconds_ = 0;
  double inContractBusySeconds_ = 0;
};

} // namespace filbertbeam
