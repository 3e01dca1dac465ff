#include "limits/MaxMinShareCoordinator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace filbertbeam {

namespace {

// Shares exceed the demand of the last second by this factor, so that a
// growing demand is not held back for a report interval. What remains of the
// promise is not given out: a share given out is held for kShareHoldTime, and
// an entry host that becomes active in the meantime would get nothing.
constexpr double kHeadroom = 1.25;

constexpr std::chrono::seconds kSweepInterval{ 1 };

// The level at which sum(min(demand, level)) equals aCapacity, or infinity
// where all demands fit.
double
MaxMinLevel(std::vector<double> aDemands, double aCapacity)
{
  std::sort(aDemands.begin(), aDemands.end());
  double remaining = aCapacity;
  std::size_t unserved = aDemands.size();
  for (const double demand : aDemands) {
    const double level = remaining / static_cast<double>(unserved);
    if (demand > level) {
      return level;
    }
    remaining -= demand;
    --unserved;
  }
  return std::numeric_limits<double>::infinity();
}

} // namespace

std::unique_ptr<ShareCoordinator>
ShareCoordinator::Create()
{
  return std::make_unique<MaxMinShareCoordinator>();
}

void
MaxMinShareCoordinator::Holder::Expire(Instant aNow)
{
  while (!grants.empty() && grants.front().expiresAt <= aNow) {
    grants.pop_front();
  }
}

double
MaxMinShareCoordinator::Holder::Held() const
{
  return grants.empty() ? 0.0 : grants.front().requestsPerSecond;
}

void
MaxMinShareCoordinator::Holder::Add(double aRequestsPerSecond, Instant aNow)
{
  while (!grants.empty() &&
         grants.back().requestsPerSecond <= aRequestsPerSecond) {
    grants.pop_back();
  }
  grants.push_back({ aRequestsPerSecond, aNow + kShareHoldTime });
}

void
MaxMinShareCoordinator::SetConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  configuration_ = std::move(aConfiguration);
}

void
MaxMinShareCoordinator::OnHomesChanged(Instant aNow)
{
  hasStarted_ = true;
  homesChangedAt_ = aNow;
}

void
MaxMinShareCoordinator::ExpireHolders(Holders& aHolders, Instant aNow)
{
  for (auto entry = aHolders.begin(); entry != aHolders.end();) {
    Holder& holder = entry->second;
    holder.Expire(aNow);
    if (holder.grants.empty() &&
        aNow - holder.reportedAt >= Duration(kShareLifetime)) {
      entry = aHolders.erase(entry);
    } else {
      ++entry;
    }
  }
}

void
MaxMinShareCoordinator::Sweep(Instant aNow)
{
  if (aNow - sweptAt_ < Duration(kSweepInterval)) {
    return;
  }
  sweptAt_ = aNow;
  for (auto entry = customers_.begin(); entry != customers_.end();) {
    ExpireHolders(entry->second, aNow);
    if (entry->second.empty()) {
      entry = customers_.erase(entry);
    } else {
      ++entry;
    }
  }
}

std::vector<ShareGrant>
MaxMinShareCoordinator::OnReport(std::string_view aHost,
                                 std::uint64_t aIncarnation,
                                 std::span<const CustomerDemand> aDemands,
                                 Instant aNow)
{
  if (!hasStarted_) {
    // Another process may have been the home until just now.
    OnHomesChanged(aNow);
  }
  Sweep(aNow);
  std::vector<ShareGrant> shares;
  if (configuration_ == nullptr) {
    return shares;
  }
  const bool mayOthersHoldShares =
    aNow - homesChangedAt_ < Duration(kShareHoldTime);

  for (const CustomerDemand& demand : aDemands) {
    const Contract* contract = configuration_->FindContract(demand.customer);
    if (contract == nullptr || !std::isfinite(demand.requestsPerSecond) ||
        demand.requestsPerSecond < 0) {
      continue;
    }
    const double promise = contract->requestsPerSecond;
    Holders& holders = customers_[demand.customer];
    ExpireHolders(holders, aNow);
    // Where shares from here are held, this host was the home before the
    // change too, and no other home has granted any.
    const bool isHeldHere = std::any_of(
      holders.begin(), holders.end(), [](const Holders::value_type& aEntry) {
        return !aEntry.second.grants.empty();
      });

    Holder& reporter = holders[HolderKey(aHost, aIncarnation)];
    reporter.demand = demand.requestsPerSecond;
    reporter.reportedAt = aNow;
    if (mayOthersHoldShares && !isHeldHere) {
      continue;
    }

    std::vector<double> wanted;
    wanted.reserve(holders.size());
    double heldByOthers = 0;
    for (const auto& [key, holder] : holders) {
      if (&holder != &reporter) {
        heldByOthers += holder.Held();
      }
      if (aNow - holder.reportedAt < Duration(kShareLifetime)) {
        wanted.push_back(holder.demand * kHeadroom);
      }
    }
    const double fair =
      std::min(reporter.demand * kHeadroom, MaxMinLevel(wanted, promise));
    const double granted =
      std::max(std::min(fair, promise - heldByOthers), 0.0);
    reporter.Add(granted, aNow);
    shares.push_back({ demand.customer, granted });
  }
  return shares;
}

} // namespace filbertbeam
