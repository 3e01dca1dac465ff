#include "quota/QuotaAllowance.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// A refusal is remembered at least and at most for these times, so that a flood
// causes few messages and a raised limit is seen soon.
constexpr std::chrono::milliseconds kMinMemory{ 10 };
constexpr std::chrono::milliseconds kMaxMemory{ 250 };
// Callers would not wait longer to return.
constexpr std::chrono::seconds kMaxReturnTime{ 2 };
// A host sees few requests of a workspace, and those arrive unevenly. With
// fewer tokens, many requests below the limit would be refused.
constexpr double kAloneDepth = 3;

} // namespace

void
QuotaAllowance::SetContracts(const ContractTable* aContracts)
{
  std::erase_if(states_, [aContracts](const auto& aItem) {
    return aContracts == nullptr || aContracts->Find(aItem.first) == nullptr;
  });
  for (auto& [workspace, state] : states_) {
    state.emptyUntil = {};
  }
}

std::optional<Duration>
QuotaAllowance::KnownRefusal(const Contract& aContract, Instant aNow)
{
  const auto entry = states_.find(aContract.customer);
  if (entry == states_.end() || aNow >= entry->second.emptyUntil) {
    return std::nullopt;
  }
  State& state = entry->second;
  // Each refused request returns one token later than the one before.
  state.retryAt = std::min(std::max(state.retryAt, state.emptyUntil) +
                             FromSeconds(1 / aContract.requestsPerSecond),
                           std::max(state.emptyUntil, aNow + kMaxReturnTime));
  return state.retryAt - aNow;
}

void
QuotaAllowance::OnRefused(const QuotaGrant& aGrant, Instant aNow)
{
  State& state = states_[aGrant.workspace];
  state.emptyUntil =
    aNow + std::clamp<Duration>(aGrant.emptyFor, kMinMemory, kMaxMemory);
  state.retryAt = aNow + aGrant.retryAfter;
}

void
QuotaAllowance::OnGranted(const std::string& aWorkspace,
                          std::string_view aHome,
                          Instant aNow)
{
  State& state = states_[aWorkspace];
  state.home = aHome;
  state.grantedAt = aNow;
}

bool
QuotaAllowance::HasChangedHome(const std::string& aWorkspace,
                               std::string_view aHome,
                               Instant aNow) const
{
  const auto state = states_.find(aWorkspace);
  return state != states_.end() && !state->second.home.empty() &&
         state->second.home != aHome &&
         aNow - state->second.grantedAt < bound_.window;
}

std::optional<Duration>
QuotaAllowance::AdmitAlone(const Contract& aContract,
                           std::size_t aHosts,
                           Instant aNow)
{
  const double rate = aContract.requestsPerSecond /
                      static_cast<double>(std::max<std::size_t>(aHosts, 1));
  State& state = states_[aContract.customer];
  if (!state.aloneAt) {
    state.aloneLevel = kAloneDepth;
  } else {
    const std::chrono::duration<double> passed = aNow - *state.aloneAt;
    state.aloneLevel = std::min(
      state.aloneLevel + std::max(passed.count(), 0.0) * rate, kAloneDepth);
  }
  state.aloneAt = aNow;
  if (state.aloneLevel >= 1) {
    state.aloneLevel -= 1;
    return std::nullopt;
  }
  return FromSeconds((1 - state.aloneLevel) / rate);
}

} // namespace filbertbeam
