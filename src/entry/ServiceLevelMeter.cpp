#include "entry/ServiceLevelMeter.h"

namespace filbertbeam {

namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::array<seconds, 3> kWindowLengths{ minutes(5),
                                                 hours(1),
                                                 hours(6) };

// Limits the memory of the counters to about 1.3 MB. Further customers are
// counted together under the name "(others)".
constexpr std::size_t kMaxSeries = 2'000;
constexpr std::string_view kOthers = "(others)";

std::int64_t
BucketIndex(Instant aNow, seconds aWindow, std::size_t aBuckets)
{
  const auto bucket = aWindow / aBuckets;
  return std::chrono::duration_cast<seconds>(aNow.time_since_epoch()) / bucket;
}

} // namespace

void
ServiceLevelMeter::Record(std::string_view aService,
                          std::string_view aCustomer,
                          bool aIsFailed,
                          Instant aNow)
{
  std::pair<std::string, std::string> key(aService, aCustomer);
  if (counters_.size() >= kMaxSeries && !counters_.contains(key)) {
    key.second = kOthers;
  }
  Counters& counters = counters_[key];
  for (std::size_t window = 0; window < kWindows; ++window) {
    const std::int64_t index =
      BucketIndex(aNow, kWindowLengths[window], kBucketsPerWindow);
    Bucket& bucket =
      counters[window][static_cast<std::size_t>(index) % kBucketsPerWindow];
    if (bucket.index != index) {
      bucket = Bucket{ index, 0, 0 };
    }
    ++bucket.requests;
    bucket.failed += aIsFailed ? 1 : 0;
  }
}

std::vector<BurnRow>
ServiceLevelMeter::Report(Instant aNow) const
{
  std::vector<BurnRow> rows;
  for (const auto& [key, counters] : counters_) {
    BurnRow row;
    row.service = key.first;
    row.customer = key.second;
    for (std::size_t window = 0; window < kWindows; ++window) {
      BurnWindow sum;
      sum.length = kWindowLengths[window];
      const std::int64_t newest =
        BucketIndex(aNow, sum.length, kBucketsPerWindow);
      for (const Bucket& bucket : counters[window]) {
        if (bucket.index >
            newest - static_cast<std::int64_t>(kBucketsPerWindow)) {
          sum.requests += bucket.requests;
          sum.failed += bucket.failed;
        }
      }
      row.windows.push_back(sum);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

} // namespace filbertbeam
