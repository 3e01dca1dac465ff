#pragma once

#include "base/Clock.h"
#include "configuration/Configuration.h"
#include "limits/RequestClass.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace filbertbeam {

// What one entry host saw of one customer since its last report.
struct CustomerDemand
{
  std::string customer;
  double requestsPerSecond = 0;
};

// The part of a customer's promise that one entry host may use.
struct ShareGrant
{
  std::string customer;
  double requestsPerSecond = 0;
};

// Classifies requests on one entry host by token buckets that refill at the
// host's share of each customer's promise. Not thread-safe.
class CustomerLimiter
{
public:
  virtual ~CustomerLimiter() = default;

  static std::unique_ptr<CustomerLimiter> Create();

  // Number of live hosts; without a valid share, an entry host uses the
  // promise divided by it.
  virtual void SetLiveHosts(int aCount) = 0;

  // Takes a token when there is one.
  virtual RequestClass Classify(const Contract& aContract, Instant aNow) = 0;

  // Gives the token back of a request that was classified as in-contract and
  // then refused.
  virtual void Refund(std::string_view aCustomer, Instant aNow) = 0;

  // Demand since the last report, for customers active here; forgets
  // customers that have been idle for long.
  virtual std::vector<CustomerDemand> TakeDemands(Instant aNow) = 0;

  // Shares from the home, valid for kShareLifetime.
  virtual void ApplyShares(std::span<const ShareGrant> aShares,
                           Instant aNow) = 0;
};

inline constexpr std::chrono::seconds kShareLifetime{ 3 };
inline constexpr std::chrono::seconds kDemandReportInterval{ 1 };

} // namespace filbertbeam
