#include "base/LatencyHistogram.h"

#include <fmt/format.h>

namespace filbertbeam {

namespace {

// 20 bins per decade bound the error of a quantile to 12%.
constexpr unsigned kBins = 140;
constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 1e2;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : histogram_(std::make_tuple(Axis(kBins, kLowestSeconds, kHighestSeconds)),
               Storage())
{
}

void
LatencyHistogram::Record(Duration aDuration)
{
  histogram_(Seconds(aDuration));
  sumMicroseconds_ += static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count());
}

std::uint64_t
LatencyHistogram::Count() const
{
  std::uint64_t count = 0;
  for (auto&& bin :
       boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    count += static_cast<std::uint64_t>(*bin);
  }
  return count;
}

Duration
LatencyHistogram::Quantile(double aQuantile) const
{
  const double wanted = aQuantile * static_cast<double>(Count());
  if (wanted <= 0) {
    return Duration::zero();
  }
  std::uint64_t seen = 0;
  for (auto&& bin :
       boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    seen += static_cast<std::uint64_t>(*bin);
    if (static_cast<double>(seen) >= wanted) {
      return FromSeconds(std::min(bin.bin().upper(), kHighestSeconds));
    }
  }
  return FromSeconds(kHighestSeconds);
}

std::string
LatencyHistogram::Format(std::string_view aName) const
{
  std::string text = fmt::format("# TYPE {} histogram\n", aName);
  std::uint64_t seen = 0;
  for (auto&& bin :
       boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    const auto inBin = static_cast<std::uint64_t>(*bin);
    seen += inBin;
    // Empty bins are left out; the buckets stay cumulative.
    if (inBin > 0 && bin.bin().upper() <= kHighestSeconds) {
      text += fmt::format(
        "{}_bucket{{le=\"{:.6g}\"}} {}\n", aName, bin.bin().upper(), seen);
    }
  }
  text += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n", aName, seen);
  text += fmt::format("{}_sum {:.6f}\n",
                      aName,
                      static_cast<double>(sumMicroseconds_.load()) / 1e6);
  text += fmt::format("{}_count {}\n", aName, seen);
  return text;
}

} // namespace filbertbeam
