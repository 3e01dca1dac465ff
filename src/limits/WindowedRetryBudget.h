#pragma once

#include "base/ExtraAttemptWindow.h"
#include "limits/RetryBudget.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace filbertbeam {

// RetryBudget that counts requests and retries over a sliding window.
class WindowedRetryBudget final : public RetryBudget
{
public:
  void OnRequest(std::string_view aService,
                 std::string_view aCustomer,
                 Instant aNow) override;
  bool TryRetry(std::string_view aService,
                std::string_view aCustomer,
                Instant aNow) override;

  // Returns the number of pairs of service and customer that are kept in
  // memory.
  std::size_t EntryCount() const { return entries_.size(); }

private:
  static constexpr std::chrono::seconds kWindow{ 10 };

  struct Entry
  {
    ExtraAttemptWindow window{ kWindow };
    Instant lastUsed;
    // Time at which the last retry was allowed.
    std::optional<Instant> lastRetry;
  };

  Entry& FindOrCreate(std::string_view aService,
                      std::string_view aCustomer,
                      Instant aNow);
  void Sweep(Instant aNow);

  std::unordered_map<std::string, Entry> entries_;
  Instant sweptAt_;
};

} // namespace filbertbeam
