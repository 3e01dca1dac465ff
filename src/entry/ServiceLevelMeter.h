#pragma once

#include "base/Clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace filbertbeam {

// Counts the requests of one service and customer within one window.
struct BurnWindow
{
  std::chrono::seconds length{ 0 };
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;
};

// Counts the requests of one service and customer within all windows.
struct BurnRow
{
  std::string service;
  std::string customer;
  std::vector<BurnWindow> windows;
};

// Counts requests and failures per service and customer over sliding windows
// of 5 minutes, 1 hour and 6 hours, for the report of error budget burn rates.
// Not thread-safe.
class ServiceLevelMeter
{
public:
  void Record(std::string_view aService,
              std::string_view aCustomer,
              bool aIsFailed,
              Instant aNow);

  std::vector<BurnRow> Report(Instant aNow) const;

private:
  static constexpr std::size_t kBucketsPerWindow = 12;
  static constexpr std::size_t kWindows = 3;

  struct Bucket
  {
    // Number of the bucket, counted from the epoch of the clock.
    std::int64_t index = -1;
    std::uint32_t requests = 0;
    std::uint32_t failed = 0;
  };

  using Series = std::array<Bucket, kBucketsPerWindow>;
  using Counters = std::array<Series, kWindows>;

  std::map<std::pair<std::string, std::string>, Counters, std::less<>>
    counters_;
};

} // namespace filbertbeam
