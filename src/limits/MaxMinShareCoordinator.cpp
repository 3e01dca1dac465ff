#include "limits/MaxMinShareCoordinator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace filbertbeam {

namespace {

// Fraction of the unused promise that is granted on top of the demands, so that
// neither growth nor random arrivals are limited for a whole report interval.
// The rest stays free for entry hosts that become active, since a granted share
// is held for kShareHoldTime.
constexpr double kGrantedLeftoverFraction = 0.5;

// The first reports of a customer arrive one after another, within
// kInitialReportPeriod. Until all have arrived, what seems unused may be what
// the other entry hosts are about to report, so that a share exceeds its demand
// by kInitialReportHeadroom only.
constexpr std::chrono::seconds kInitialReportPeriod{ 2 };
constexpr double kInitialReportHeadroom = 0.25;

constexpr std::chrono::seconds kSweepInterval{ 1 };

// Returns the level at which sum(min(demand, level)) equals aCapacity, or
// infinity if all demands fit.
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

double
MaxMinShareCoordinator::HeldByOthers(const Holders& aHolders,
                                     const Holder& aReporter)
{
  double held = 0;
  for (const auto& [key, holder] : aHolders) {
    if (&holder != &aReporter) {
      held += holder.Held();
    }
  }
  return held;
}

double
MaxMinShareCoordinator::FairShare(const Holders& aHolders,
                                  const Holder& aReporter,
                                  double aPromise,
                                  Instant aNow)
{
  std::vector<double> demands;
  demands.reserve(aHolders.size());
  double sum = 0;
  double sumOfRoots = 0;
  for (const auto& [key, holder] : aHolders) {
    if (aNow - holder.reportedAt < Duration(kShareLifetime)) {
      demands.push_back(holder.demand);
      sum += holder.demand;
      sumOfRoots += std::sqrt(holder.demand);
    }
  }
  const double leftover = aPromise - sum;
  // The condition is also true if the sum is infinite.
  if (!(leftover > 0)) {
    return std::min(aReporter.demand, MaxMinLevel(demands, aPromise));
  }
  if (aNow - aReporter.firstReportedAt < Duration(kInitialReportPeriod)) {
    return aReporter.demand * (1 + kInitialReportHeadroom);
  }
  // The standard deviation of the number of arrivals grows with the square root
  // of their mean.
  return sumOfRoots > 0
           ? aReporter.demand + leftover * kGrantedLeftoverFraction *
                                  std::sqrt(aReporter.demand) / sumOfRoots
           : 0.0;
}

std::vector<ShareGrant>
MaxMinShareCoordinator::OnReport(std::string_view aHost,
                                 std::uint64_t aIncarnation,
                                 std::span<const CustomerDemand> aDemands,
                                 Instant aNow)
{
  if (!hasStarted_) {
    // Another process may have been the home until now.
    OnHomesChanged(aNow);
  }
  Sweep(aNow);
  std::vector<ShareGrant> shares;
  if (configuration_ == nullptr) {
    return shares;
  }
  const bool mayEarlierSharesBeValid =
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
    // If shares granted here are held, this host was the home before the change
    // as well, and no other home has granted any.
    const bool hasGrantsFromHere = std::any_of(
      holders.begin(), holders.end(), [](const Holders::value_type& aEntry) {
        return !aEntry.second.grants.empty();
      });

    Holder& reporter = holders[HolderKey(aHost, aIncarnation)];
    if (reporter.reportedAt == Instant()) {
      reporter.firstReportedAt = aNow;
    }
    reporter.demand = demand.requestsPerSecond;
    reporter.reportedAt = aNow;
    if (mayEarlierSharesBeValid && !hasGrantsFromHere) {
      continue;
    }

    const double granted =
      std::max(std::min(FairShare(holders, reporter, promise, aNow),
                        promise - HeldByOthers(holders, reporter)),
               0.0);
    reporter.Add(granted, aNow);
    shares.push_back({ demand.customer, granted });
  }
  return shares;
}

} // namespace filbertbeam
