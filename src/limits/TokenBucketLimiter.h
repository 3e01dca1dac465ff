#pragma once

#include "limits/CustomerLimiter.h"

#include <string>
#include <unordered_map>

namespace filbertbeam {

// CustomerLimiter with one token bucket per active customer.
class TokenBucketLimiter final : public CustomerLimiter
{
public:
  void SetLiveHosts(int aCount) override;
  RequestClass Classify(const Contract& aContract, Instant aNow) override;
  void Refund(std::string_view aCustomer, Instant aNow) override;
  std::vector<CustomerDemand> TakeDemands(Instant aNow) override;
  void ApplyShares(std::span<const ShareGrant> aShares, Instant aNow) override;

  // Returns the number of customers that are kept in memory.
  std::size_t CustomerCount() const { return buckets_.size(); }

private:
  struct Bucket
  {
    double promise = 0;
    double tokens = 0;
    Instant refilledAt;
    double share = 0;
    Instant shareExpiresAt;
    Instant lastRequestAt;
    std::uint64_t requestsSinceReport = 0;
    double reportedDemand = 0;
  };

  double FallbackRate(const Bucket& aBucket) const;
  double Capacity(const Bucket& aBucket, Instant aNow) const;
  void Refill(Bucket& aBucket, Instant aNow) const;

  int liveHosts_ = 1;
  std::unordered_map<std::string, Bucket> buckets_;
  Instant lastReportAt_;
  bool hasReported_ = false;
};

} // namespace filbertbeam
