#include "limits/WindowedRetryBudget.h"

namespace filbertbeam {

namespace {

constexpr double kRetryRatio = 0.1;
// One retry per interval is always allowed, so that a customer with few
// requests can retry at all.
constexpr std::chrono::seconds kRetryInterval{ 1 };

} // namespace

std::unique_ptr<RetryBudget>
RetryBudget::Create()
{
  return std::make_unique<WindowedRetryBudget>();
}

WindowedRetryBudget::Entry&
WindowedRetryBudget::FindOrCreate(std::string_view aService,
                                  std::string_view aCustomer,
                                  Instant aNow)
{
  Sweep(aNow);
  std::string key(aService);
  // Neither name contains a zero byte, so that the key is unambiguous.
  key += '\0';
  key += aCustomer;
  Entry& entry = entries_[std::move(key)];
  entry.lastUsed = aNow;
  return entry;
}

void
WindowedRetryBudget::OnRequest(std::string_view aService,
                               std::string_view aCustomer,
                               Instant aNow)
{
  FindOrCreate(aService, aCustomer, aNow).window.AddRequest(aNow);
}

bool
WindowedRetryBudget::TryRetry(std::string_view aService,
                              std::string_view aCustomer,
                              Instant aNow)
{
  Entry& entry = FindOrCreate(aService, aCustomer, aNow);
  const bool isWithinRatio = entry.window.ExtraAttempts(aNow) + 1 <=
                             kRetryRatio * entry.window.Requests(aNow);
  const bool isFirstOfInterval =
    !entry.lastRetry || aNow - *entry.lastRetry >= kRetryInterval;
  if (!isWithinRatio && !isFirstOfInterval) {
    return false;
  }
  entry.window.AddExtraAttempt(aNow);
  entry.lastRetry = aNow;
  return true;
}

void
WindowedRetryBudget::Sweep(Instant aNow)
{
  if (aNow - sweptAt_ < kWindow) {
    return;
  }
  sweptAt_ = aNow;
  std::erase_if(entries_, [aNow](const auto& aItem) {
    return aNow - aItem.second.lastUsed >= kWindow;
  });
}

} // namespace filbertbeam
