#pragma once

#include "shard_model/ShardModel.h"

#include <vector>

namespace filbertbeam {

// One run of the shard model in which customer 0 sends a multiple of its
// promised rate and each other customer sends its promised rate.
class ContentionTrial final : public ShardModelObserver
{
public:
  struct Setup
  {
    int servers = 7;
    int slots = 4;
    int lightCustomers = 50;
    double heavyFactor = 10;
    // Offered load as a share of the capacity of all slots.
    double load = 0.9;
    double seconds = 300;
    std::uint64_t seed = 1;
    bool isFifo = false;
  };

  // Statistics of one class of requests.
  struct ClassStatistics
  {
    int offered = 0;
    int refused = 0;
    // Queueing times of the served requests in seconds.
    std::vector<double> waits;

    double WaitQuantile(double aShare) const;
  };

  struct Result
  {
    double promise = 0;
    // Served requests per second as a multiple of the promise, by customer.
    std::vector<double> servedShares;
    // Offered requests per second as a multiple of the promise, by customer.
    std::vector<double> offeredShares;
    ClassStatistics inContract;
    ClassStatistics excess;
    // Share of the slot time that all requests and in-contract requests used.
    double utilization = 0;
    double inContractUtilization = 0;

    // Share of the slot time left over by in-contract requests that excess
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
