#pragma once

#include "base/Clock.h"
#include "configuration/Configuration.h"
#include "limits/RequestClass.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace filbertbeam {

// Request rate of one customer on one entry host since its last report.
struct CustomerDemand
{
  std::string customer;
  double requestsPerSecond = 0;
};

// The share of a customer's promise that one entry host may use.
struct ShareGrant
{
  std::string customer;
  double requestsPerSecond = 0;
};

// Classifies the requests of one entry host with token buckets, which refill at
// the host's share of each customer's promise. Not thread-safe.
class CustomerLimiter
{
public:
  virtual ~CustomerLimiter() = default;

  static std::unique_ptr<CustomerLimiter> Create();

  // Sets the number of live hosts. An entry host without a valid share uses the
  // promise divided by this number.
  virtual void SetLiveHosts(int aCount) = 0;

  // Classifies a request, and takes a token if there is one.
  virtual RequestClass Classify(const Contract& aContract, Instant aNow) = 0;

  // Returns the token of a request that was classified as in-contract and then
  // refused.
  virtual void Refund(std::string_view aCustomer, Instant aNow) = 0;

  // Returns the demands since the last report for customers that are active
  // here, and erases customers that have been idle for long.
  virtual std::vector<CustomerDemand> TakeDemands(Instant aNow) = 0;

  // Applies the shares that the customers' home hosts granted; they are valid
  // for kShareLifetime.
  virtual void ApplyShares(std::span<const ShareGrant> aShares,
                           Instant aNow) = 0;
};

inline constexpr std::chrono::seconds kShareLifetime{ 3 };
inline constexpr std::chrono::seconds kDemandReportInterval{ 1 };

} // namespace filbertbeam
