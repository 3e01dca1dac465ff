#pragma once

#include "contracts/ContractTable.h"
#include "quota/QuotaBound.h"
#include "quota/QuotaMessages.h"

#include <string>
#include <unordered_map>

namespace filbertbeam {

// The token buckets of the workspaces whose home is this host. Grants, in any
// window, at most the contract's rate and burst and the part of the bound's
// tolerance that a bucket holds beside the burst.
class QuotaLedger
{
public:
  QuotaLedger(const QuotaBound& aBound, Instant aNow);

  void SetBound(const QuotaBound& aBound) { bound_ = aBound; }
  // Applies lower limits at once. Null means that no workspace is limited.
  void SetContracts(std::shared_ptr<const ContractTable> aContracts,
                    Instant aNow);
  // Call it when this host was paused, so that another one may have granted
  // tokens meanwhile.
  void OnInterruption(Instant aNow);
  QuotaGrant Grant(const QuotaDemand& aDemand, Instant aNow);

  std::size_t Buckets() const { return buckets_.size(); }
  // Capacity of the bucket, in tokens.
  double Depth(const Contract& aContract) const;
  // Tokens of a bucket when its home begins or was interrupted.
  double InitialLevel(const Contract& aContract) const;

private:
  // Levels are in tokens.
  struct Bucket
  {
    double level = 0;
    Instant updatedAt;
    // Refused requests that are expected to return.
    double backlog = 0;
  };

  Bucket& FindBucket(const Contract& aContract, Instant aNow);
  void Refill(Bucket& aBucket, const Contract& aContract, Instant aNow) const;

  QuotaBound bound_;
  std::shared_ptr<const ContractTable> contracts_;
  std::unordered_map<std::string, Bucket> buckets_;
  // Buckets that nobody asked for are refilled since then.
  Instant beganAt_;
};

} // namespace filbertbeam
