#pragma once

#include "limits/RetryBudget.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace filbertbeam {

// RetryBudget over a window of one-second slots.
class WindowedRetryBudget final : public RetryBudget
{
public:
  void OnRequest(std::string_view aService,
                 std::string_view aCustomer,
                 Instant aNow) override;
  bool TryRetry(std::string_view aService,
                std::string_view aCustomer,
                Instant aNow) override;

  // Pairs of service and customer that occupy memory.
  std::size_t EntryCount() const { return entries_.size(); }

private:
  static constexpr std::int64_t kWindowSeconds = 10;

  struct Slot
  {
    std::int64_t second = 0;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
  };

  struct Entry
  {
    std::array<Slot, kWindowSeconds> slots;
    std::int64_t lastUsedSecond = 0;
  };

  Entry& Find(std::string_view aService,
              std::string_view aCustomer,
              std::int64_t aSecond);
  static Slot& CurrentSlot(Entry& aEntry, std::int64_t aSecond);
  void Sweep(std::int64_t aSecond);

  std::unordered_map<std::string, Entry> entries_;
  std::int64_t sweptAtSecond_ = 0;
};

} // namespace filbertbeam
