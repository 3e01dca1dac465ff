#include "quota/QuotaLedger.h"

#include "base/Log.h"

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

// Parts of the bound's tolerance. The rest allows for tokens that are given
// back, for hosts that reach no home, and for the time between a grant and the
// arrival of the request at its server.
constexpr double kDepthShare = 0.2;
constexpr double kInitialShare = 0.3;
// Callers would not wait longer to return.
constexpr double kMaxBacklogSeconds = 2;
// The additions of a refill round; a token is whole up to this error.
constexpr double kRoundingError = 1e-6;

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

QuotaLedger::QuotaLedger(const QuotaBound& aBound, Instant aNow)
  : bound_(aBound)
  , beganAt_(aNow)
{
}

double
QuotaLedger::Depth(const Contract& aContract) const
{
  return std::max(aContract.burst + kDepthShare * bound_.Tolerance(aContract),
                  1.0);
}

double
QuotaLedger::InitialLevel(const Contract& aContract) const
{
  return std::min(std::max(kInitialShare * bound_.Tolerance(aContract), 1.0),
                  Depth(aContract));
}

void
QuotaLedger::SetContracts(std::shared_ptr<const ContractTable> aContracts,
                          Instant aNow)
{
  const auto earlier = std::move(contracts_);
  contracts_ = std::move(aContracts);
  for (auto entry = buckets_.begin(); entry != buckets_.end();) {
    auto& [workspace, bucket] = *entry;
    const Contract* contract =
      contracts_ ? contracts_->Find(workspace) : nullptr;
    if (contract == nullptr || contract->requestsPerSecond <= 0) {
      entry = buckets_.erase(entry);
      continue;
    }
    Refill(bucket, *earlier->Find(workspace), aNow);
    bucket.level = std::min(bucket.level, Depth(*contract));
    ++entry;
  }
}

void
QuotaLedger::OnInterruption(Instant aNow)
{
  beganAt_ = aNow;
  buckets_.clear();
}

QuotaGrant
QuotaLedger::Grant(const QuotaDemand& aDemand, Instant aNow)
{
  QuotaGrant grant;
  grant.workspace = aDemand.workspace;
  const Contract* contract =
    contracts_ ? contracts_->Find(aDemand.workspace) : nullptr;
  if (contract == nullptr) {
    grant.status = QuotaStatus::UnknownWorkspace;
    return grant;
  }
  if (contract->requestsPerSecond <= 0) {
    grant.granted = aDemand.wanted;
    return grant;
  }
  Bucket& bucket = FindBucket(*contract, aNow);
  Refill(bucket, *contract, aNow);
  if (aDemand.hasChangedHome) {
    bucket.level = std::min(bucket.level, InitialLevel(*contract));
  }
  bucket.level = std::min(bucket.level + aDemand.returned, Depth(*contract));
  grant.granted = static_cast<std::uint32_t>(std::min<double>(
    aDemand.wanted, std::floor(bucket.level + kRoundingError)));
  bucket.level = std::max(bucket.level - grant.granted, 0.0);
  if (grant.granted < aDemand.wanted) {
    const double rate = contract->requestsPerSecond;
    const double missing = std::max(1 - bucket.level, 0.0);
    grant.emptyFor = FromSeconds(missing / rate);
    grant.retryAfter = FromSeconds((missing + bucket.backlog) / rate);
    bucket.backlog = std::min(bucket.backlog + aDemand.wanted - grant.granted,
                              rate * kMaxBacklogSeconds);
  }
  return grant;
}

QuotaLedger::Bucket&
QuotaLedger::FindBucket(const Contract& aContract, Instant aNow)
{
  const auto [entry, isNew] = buckets_.try_emplace(aContract.customer);
  Bucket& bucket = entry->second;
  if (isNew) {
    bucket = { InitialLevel(aContract), beganAt_ };
    Refill(bucket, aContract, aNow);
    LogEvent(LogLevel::Info,
             "quota_bucket_started",
             { { "workspace", aContract.customer },
               { "level", bucket.level },
               { "depth", Depth(aContract) },
               { "rate", aContract.requestsPerSecond } });
  }
  return bucket;
}

void
QuotaLedger::Refill(Bucket& aBucket,
                    const Contract& aContract,
                    Instant aNow) const
{
  const double tokens =
    ToSeconds(std::max(aNow - aBucket.updatedAt, Duration::zero())) *
    aContract.requestsPerSecond;
  aBucket.level = std::min(aBucket.level + tokens, Depth(aContract));
  aBucket.backlog = std::max(aBucket.backlog - tokens, 0.0);
  aBucket.updatedAt = std::max(aNow, aBucket.updatedAt);
}

} // namespace filbertbeam
