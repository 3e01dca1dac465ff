#include "standins/backend/GrayMode.h"

#include <QUrlQuery>

#include <array>
#include <utility>

namespace filbertbeam {

namespace {

constexpr std::array<std::pair<std::string_view, GrayModeKind>, 9> kModes{ {
  { "healthy", GrayModeKind::Healthy },
  { "slow", GrayModeKind::Slow },
  { "half-speed", GrayModeKind::Slow },
  { "errors", GrayModeKind::Errors },
  { "customer-errors", GrayModeKind::CustomerErrors },
  { "black-hole", GrayModeKind::BlackHole },
  { "close", GrayModeKind::Close },
  { "truncate", GrayModeKind::Truncate },
  { "flapping", GrayModeKind::Flapping },
} };

} // namespace

std::optional<GrayMode>
GrayMode::Parse(std::string_view aQuery, std::string& aReason)
{
  const QUrlQuery query(
    QString::fromUtf8(aQuery.data(), static_cast<qsizetype>(aQuery.size())));
  const std::string name = query.queryItemValue("mode").toStdString();
  std::optional<GrayMode> mode;
  for (const auto& [modeName, kind] : kModes) {
    if (name == modeName) {
      mode.emplace();
      mode->kind = kind;
    }
  }
  if (!mode) {
    aReason = "unknown mode: " + name;
    return std::nullopt;
  }
  if (name == "half-speed") {
    mode->factor = 2;
  }
  const auto readNumber = [&query](const char* aName, double aDefault) {
    return query.hasQueryItem(aName) ? query.queryItemValue(aName).toDouble()
                                     : aDefault;
  };
  mode->factor = readNumber("factor", mode->factor);
  mode->rate = readNumber("rate", mode->rate);
  mode->customer = query.queryItemValue("customer").toStdString();
  const double period =
    readNumber("period_ms", static_cast<double>(mode->period.count()));
  constexpr double kMaxFactor = 1e6;
  constexpr double kMaxPeriod = 1e9;
  if (!(mode->factor > 0 && mode->factor <= kMaxFactor) ||
      !(mode->rate >= 0 && mode->rate <= 1) ||
      !(period >= 1 && period <= kMaxPeriod)) {
    aReason = "factor, rate or period_ms is out of range";
    return std::nullopt;
  }
  mode->period = std::chrono::milliseconds(static_cast<std::int64_t>(period));
  return mode;
}

} // namespace filbertbeam
