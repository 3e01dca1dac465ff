#pragma once

#include "base/Clock.h"

#include <boost/histogram.hpp>

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace filbertbeam {

// A histogram of durations in logarithmic bins from 10 microseconds to 100
// seconds. Safe to fill and read from several threads.
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Record(Duration aDuration);

  std::uint64_t Count() const;
  // Returns the upper edge of the bin that contains the quantile, or zero if
  // there are no samples.
  Duration Quantile(double aQuantile) const;

  // Returns the histogram in the Prometheus text format, with cumulative
  // buckets in seconds.
  std::string Format(std::string_view aName) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<
    boost::histogram::accumulators::thread_safe<std::uint64_t>>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>, Storage>;

  Histogram histogram_;
  std::atomic<std::uint64_t> sumMicroseconds_{ 0 };
};

} // namespace filbertbeam
