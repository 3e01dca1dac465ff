#include "base/LatencyHistogram.h"

#include <fmt/format.h>

namespace filbertbeam {

namespace {

// 20 bins for each of the 7 decades limit the error of a quantile to 12%.
constexpr unsigned kBinCount = 140;
constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 1e2;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : histogram_(
      std::make_tuple(Axis(kBinCount, kLowestSeconds, kHighestSeconds)),
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
  const double targetCount = aQuantile * static_cast<double>(Count());
  if (targetCount <= 0) {
    return Duration::zero();
  }
  std::uint64_t cumulativeCount = 0;
  for (auto&& bin :
       boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    cumulativeCount += static_cast<std::uint64_t>(*bin);
    if (static_cast<double>(cumulativeCount) >= targetCount) {
      return FromSeconds(std::min(bin.bin().upper(), kHighestSeconds));
    }
  }
  return FromSeconds(kHighestSeconds);
}

std::string
LatencyHistogram::Format(std::string_view aName) const
{
  std::string text = fmt::format("# TYPE {} histogram\n", aName);
  std::uint64_t cumulativeCount = 0;
  for (auto&& bin :
       boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    const auto inBin = static_cast<std::uint64_t>(*bin);
    cumulativeCount += inBin;
    // Omits empty bins, which cumulative buckets allow.
    if (inBin > 0 && bin.bin().upper() <= kHighestSeconds) {
      text += fmt::format("{}_bucket{{le=\"{:.6g}\"}} {}\n",
                          aName,
                          bin.bin().upper(),
                          cumulativeCount);
    }
  }
  text += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n", aName, cumulativeCount);
  text += fmt::format("{}_sum {:.6f}\n",
                      aName,
                      static_cast<double>(sumMicroseconds_.load()) / 1e6);
  text += fmt::format("{}_count {}\n", aName, cumulativeCount);
  return text;
}

} // namespace filbertbeam
