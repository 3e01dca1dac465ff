#pragma once

#include "base/Clock.h"

#include <memory>
#include <string_view>

namespace filbertbeam {

// Limits the retries of one entry host to a fraction of its requests, per
// service and customer. Not thread-safe.
class RetryBudget
{
public:
  virtual ~RetryBudget() = default;

  static std::unique_ptr<RetryBudget> Create();

  virtual void OnRequest(std::string_view aService,
                         std::string_view aCustomer,
                         Instant aNow) = 0;
  // Takes one retry from the budget; returns false if it is used up.
  virtual bool TryRetry(std::string_view aService,
                        std::string_view aCustomer,
                        Instant aNow) = 0;
};

} // namespace filbertbeam
