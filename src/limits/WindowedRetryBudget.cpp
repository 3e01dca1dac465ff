#include "limits/WindowedRetryBudget.h"

namespace filbertbeam {

namespace {

constexpr double kRetryRatio = 0.1;

std::int64_t
SecondOf(Instant aNow)
{
  return std::chrono::floor<std::chrono::seconds>(aNow)
    .time_since_epoch()
    .count();
}

} // namespace

std::unique_ptr<RetryBudget>
RetryBudget::Create()
{
  return std::make_unique<WindowedRetryBudget>();
}

WindowedRetryBudget::Entry&
WindowedRetryBudget::Find(std::string_view aService,
                          std::string_view aCustomer,
                          std::int64_t aSecond)
{
  Sweep(aSecond);
  std::string key(aService);
  // Neither name contains a zero byte, so the key is unambiguous.
  key += '\0';
  key += aCustomer;
  Entry& entry = entries_[std::move(key)];
  entry.lastUsedSecond = aSecond;
  return entry;
}

WindowedRetryBudget::Slot&
WindowedRetryBudget::CurrentSlot(Entry& aEntry, std::int64_t aSecond)
{
  Slot& slot = aEntry.slots[static_cast<std::size_t>(aSecond % kWindowSeconds)];
  if (slot.second != aSecond) {
    slot = Slot{ aSecond, 0, 0 };
  }
  return slot;
}

void
WindowedRetryBudget::OnRequest(std::string_view aService,
                               std::string_view aCustomer,
                               Instant aNow)
{
  const std::int64_t second = SecondOf(aNow);
  ++CurrentSlot(Find(aService, aCustomer, second), second).requests;
}

bool
WindowedRetryBudget::TryRetry(std::string_view aService,
                              std::string_view aCustomer,
                              Instant aNow)
{
  const std::int64_t second = SecondOf(aNow);
  Entry& entry = Find(aService, aCustomer, second);
  Slot& current = CurrentSlot(entry, second);
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  for (const Slot& slot : entry.slots) {
    if (second - slot.second < kWindowSeconds) {
      requests += slot.requests;
      retries += slot.retries;
    }
  }
  // One retry per second is always allowed, so that a customer with few
  // requests is not left without any.
  const bool isWithinRatio = static_cast<double>(retries + 1) <=
                             kRetryRatio * static_cast<double>(requests);
  if (current.retries > 0 && !isWithinRatio) {
    return false;
  }
  ++current.retries;
  return true;
}

void
WindowedRetryBudget::Sweep(std::int64_t aSecond)
{
  if (aSecond - sweptAtSecond_ < kWindowSeconds) {
    return;
  }
  sweptAtSecond_ = aSecond;
  std::erase_if(entries_, [&](const auto& aItem) {
    return aSecond - aItem.second.lastUsedSecond >= kWindowSeconds;
  });
}

} // namespace filbertbeam
