#include "limits/TokenBucketLimiter.h"

#include <algorithm>
#include <cmath>

namespace filbertbeam {

namespace {

constexpr double kBurstSeconds = 2.0;
constexpr double kMinBurstRequests = 1.0;

// A customer is still reported for this long after its last request, so that
// its last reports show the home that its demand has ended.
constexpr std::chrono::seconds kActiveTime{ 3 };
constexpr std::chrono::seconds kIdleBucketLifetime{ 60 };

// Weight of the last interval in the reported demand. A customer with a few
// requests per second appears in some intervals and not in others; without
// smoothing, its share would come and go with them.
constexpr double kDemandWeight = 0.5;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

std::unique_ptr<CustomerLimiter>
CustomerLimiter::Create()
{
  return std::make_unique<TokenBucketLimiter>();
}

void
TokenBucketLimiter::SetLiveHosts(int aCount)
{
  liveHosts_ = std::max(aCount, 1);
}

double
TokenBucketLimiter::FallbackRate(const Bucket& aBucket) const
{
  return aBucket.promise / liveHosts_;
}

double
TokenBucketLimiter::Capacity(const Bucket& aBucket, Instant aNow) const
{
  // The burst is 2 s of the rate that applies on this host, not of the whole
  // promise; otherwise 48 entry hosts would admit 48 bursts.
  const double rate = aNow < aBucket.shareExpiresAt
                        ? std::min(aBucket.share, aBucket.promise)
                        : FallbackRate(aBucket);
  return std::max(rate * kBurstSeconds, kMinBurstRequests);
}

void
TokenBucketLimiter::Refill(Bucket& aBucket, Instant aNow) const
{
  if (aNow > aBucket.refilledAt) {
    // The share applies up to its expiry and the fallback rate after it, so
    // that a late refill adds no tokens for an expired share.
    const Instant shareEnd =
      std::clamp(aBucket.shareExpiresAt, aBucket.refilledAt, aNow);
    aBucket.tokens += Seconds(shareEnd - aBucket.refilledAt) *
                      std::min(aBucket.share, aBucket.promise);
    aBucket.tokens += Seconds(aNow - shareEnd) * FallbackRate(aBucket);
    aBucket.refilledAt = aNow;
  }
  aBucket.tokens = std::min(aBucket.tokens, Capacity(aBucket, aNow));
}

RequestClass
TokenBucketLimiter::Classify(const Contract& aContract, Instant aNow)
{
  const auto [entry, isNew] = buckets_.try_emplace(aContract.customer);
  Bucket& bucket = entry->second;
  if (isNew) {
    bucket.promise = aContract.requestsPerSecond;
    bucket.refilledAt = aNow;
    bucket.shareExpiresAt = aNow;
    bucket.tokens = Capacity(bucket, aNow);
  } else {
    Refill(bucket, aNow);
    bucket.promise = aContract.requestsPerSecond;
  }
  bucket.lastRequestAt = aNow;
  ++bucket.requestsSinceReport;
  // A sum of fractions that should be 1 can end just below it.
  constexpr double kRounding = 1e-9;
  if (bucket.tokens < 1.0 - kRounding) {
    return RequestClass::Excess;
  }
  bucket.tokens = std::max(bucket.tokens - 1.0, 0.0);
  return RequestClass::InContract;
}

void
TokenBucketLimiter::Refund(std::string_view aCustomer, Instant aNow)
{
  const auto found = buckets_.find(std::string(aCustomer));
  if (found == buckets_.end()) {
    return;
  }
  Bucket& bucket = found->second;
  Refill(bucket, aNow);
  bucket.tokens = std::min(bucket.tokens + 1.0, Capacity(bucket, aNow));
}

std::vector<CustomerDemand>
TokenBucketLimiter::TakeDemands(Instant aNow)
{
  // A first or an early report covers at least one interval, so that a single
  // request does not count as thousands per second.
  const double elapsed =
    std::max(hasReported_ ? Seconds(aNow - lastReportAt_) : 0.0,
             Seconds(kDemandReportInterval));
  lastReportAt_ = aNow;
  hasReported_ = true;

  std::vector<CustomerDemand> demands;
  for (auto entry = buckets_.begin(); entry != buckets_.end();) {
    Bucket& bucket = entry->second;
    const Duration idle = aNow - bucket.lastRequestAt;
    if (bucket.requestsSinceReport > 0 || idle < kActiveTime) {
      const double rate =
        static_cast<double>(bucket.requestsSinceReport) / elapsed;
      // The demand of a customer that becomes active is reported without
      // smoothing.
      bucket.reportedDemand =
        bucket.reportedDemand > 0
          ? rate * kDemandWeight + bucket.reportedDemand * (1 - kDemandWeight)
          : rate;
      bucket.requestsSinceReport = 0;
      demands.push_back({ entry->first, bucket.reportedDemand });
      ++entry;
      continue;
    }
    bucket.reportedDemand = 0;
    Refill(bucket, aNow);
    // A bucket that is not full is kept, since a new one would start full.
    if (idle >= kIdleBucketLifetime &&
        bucket.tokens >= Capacity(bucket, aNow)) {
      entry = buckets_.erase(entry);
    } else {
      ++entry;
    }
  }
  return demands;
}

void
TokenBucketLimiter::ApplyShares(std::span<const ShareGrant> aShares,
                                Instant aNow)
{
  for (const ShareGrant& grant : aShares) {
    const auto found = buckets_.find(grant.customer);
    // A share of an unknown customer and one that is not a valid rate are
    // ignored.
    if (found == buckets_.end() || !std::isfinite(grant.requestsPerSecond) ||
        grant.requestsPerSecond < 0) {
      continue;
    }
    Bucket& bucket = found->second;
    Refill(bucket, aNow);
    bucket.share = grant.requestsPerSecond;
    bucket.shareExpiresAt = aNow + kShareLifetime;
    Refill(bucket, aNow);
  }
}

} // namespace filbertbeam
