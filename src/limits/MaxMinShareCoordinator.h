#pragma once

#include "limits/ShareCoordinator.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace filbertbeam {

// ShareCoordinator that divides each promise by max-min fairness.
class MaxMinShareCoordinator final : public ShareCoordinator
{
public:
  void SetConfiguration(
    std::shared_ptr<const Configuration> aConfiguration) override;
  void OnHomesChanged(Instant aNow) override;
  std::vector<ShareGrant> OnReport(std::string_view aHost,
                                   std::uint64_t aIncarnation,
                                   std::span<const CustomerDemand> aDemands,
                                   Instant aNow) override;

  // Returns the number of customers that are kept in memory.
  std::size_t CustomerCount() const { return customers_.size(); }

private:
  struct Grant
  {
    double requestsPerSecond = 0;
    Instant expiresAt;
  };

  // A process of an entry host, which reports demands and holds shares.
  struct Holder
  {
    double demand = 0;
    Instant reportedAt;
    Instant firstReportedAt;
    // Unexpired grants, in descending order: as a later grant may be lost, the
    // largest unexpired one counts as held.
    std::deque<Grant> grants;

    void Expire(Instant aNow);
    double Held() const;
    void Add(double aRequestsPerSecond, Instant aNow);
  };

  using HolderKey = std::pair<std::string, std::uint64_t>;
  using Holders = std::map<HolderKey, Holder, std::less<>>;

  static void ExpireHolders(Holders& aHolders, Instant aNow);
  static double HeldByOthers(const Holders& aHolders, const Holder& aReporter);
  // Returns the share that aReporter would get if no shares were held.
  static double FairShare(const Holders& aHolders,
                          const Holder& aReporter,
                          double aPromise,
                          Instant aNow);
  void Sweep(Instant aNow);

  std::shared_ptr<const Configuration> configuration_;
  std::unordered_map<std::string, Holders> customers_;
  // False until the first change of homes or the first report, which then
  // counts as such a change.
  bool hasStarted_ = false;
  Instant homesChangedAt_;
  Instant sweptAt_;
};

} // namespace filbertbeam
