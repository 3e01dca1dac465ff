#pragma once

#include "contracts/ContractTable.h"
#include "quota/QuotaBound.h"
#include "quota/QuotaMessages.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace filbertbeam {

// What an entry host knows of the limits of the workspaces: which of them have
// no token now, which home granted the latest one, and what this host may admit
// while it reaches no home.
class QuotaAllowance
{
public:
  explicit QuotaAllowance(const QuotaBound& aBound)
    : bound_(aBound)
  {
  }

  void SetBound(const QuotaBound& aBound) { bound_ = aBound; }
  // Forgets the workspaces that are not in aContracts, and what was known
  // under earlier limits.
  void SetContracts(const ContractTable* aContracts);

  // Returns when a request may return if its workspace is known to have no
  // token.
  std::optional<Duration> KnownRefusal(const Contract& aContract, Instant aNow);
  void OnRefused(const QuotaGrant& aGrant, Instant aNow);
  void OnGranted(const std::string& aWorkspace,
                 std::string_view aHome,
                 Instant aNow);
  // True if another home than aHome granted tokens less than a window ago.
  bool HasChangedHome(const std::string& aWorkspace,
                      std::string_view aHome,
                      Instant aNow) const;
  // Decides without a home, for one of aHosts. Returns nothing if the request
  // is admitted, or when it may return.
  std::optional<Duration> AdmitAlone(const Contract& aContract,
                                     std::size_t aHosts,
                                     Instant aNow);

private:
  struct State
  {
    Instant emptyUntil;
    Instant retryAt;
    std::string home;
    Instant grantedAt;
    // Tokens for the time without a home.
    double aloneLevel = 0;
    std::optional<Instant> aloneAt;
  };

  QuotaBound bound_;
  std::unordered_map<std::string, State> states_;
};

} // namespace filbertbeam
