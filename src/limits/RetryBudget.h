#pragma once

#include "base/Clock.h"

#include <memory>
#include <string_view>

namespace filbertbeam {

// Bounds the retries of one entry host per service and customer to a share of
// their requests. Not thread-safe.
class RetryBudget
{
public:
  virtual ~RetryBudget() = default;

  static std::unique_ptr<RetryBudget> Create();

  virtual void OnRequest(std::string_view aService,
                         std::string_view aCustomer,
                         Instant aNow) = 0;
  // Takes one retry from the budget; false when it is spent.
  virtual bool TryRetry(std::string_view aService,
                        std::string_view aCustomer,
                        Instant aNow) = 0;
};

} // namespace filbertbeam
