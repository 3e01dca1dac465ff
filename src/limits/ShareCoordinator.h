#pragma once

#include "limits/CustomerLimiter.h"

#include <cstdint>

namespace filbertbeam {

// Divides promises among entry hosts, on the home host of each customer. The
// sum of the unexpired shares of a customer never exceeds its promise. Not
// thread-safe.
class ShareCoordinator
{
public:
  virtual ~ShareCoordinator() = default;

  static std::unique_ptr<ShareCoordinator> Create();

  virtual void SetConfiguration(
    std::shared_ptr<const Configuration> aConfiguration) = 0;

  // Takes the report of one entry host and returns its shares. Customers
  // without a contract are left out.
  virtual std::vector<ShareGrant> OnReport(
    std::string_view aHost,
    std::uint64_t aIncarnation,
    std::span<const CustomerDemand> aDemands,
    Instant aNow) = 0;
};

} // namespace filbertbeam
