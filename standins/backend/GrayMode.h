#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace filbertbeam {

enum class GrayModeKind
{
  Healthy,
  // Service times are multiplied by `factor`; half-speed is a factor of 2.
  Slow,
  // A share `rate` of the requests fails with status 500.
  Errors,
  // Every request of `customer` fails with status 500.
  CustomerErrors,
  // Reads requests and never responds.
  BlackHole,
  // Closes the connection after reading a request.
  Close,
  // Sends half of the response and closes the connection.
  Truncate,
  // Alternates between healthy and failing with status 500, each for `period`.
  Flapping,
};

// A gray failure mode with its parameters, switched at run time.
struct GrayMode
{
  // Parses "mode=errors&rate=0.5" and the like: healthy, slow (factor),
  // half-speed, errors (rate), customer-errors (customer), black-hole, close,
  // truncate, flapping (period_ms). Returns nothing and fills aReason when
  // the mode is unknown or a number is out of range.
  static std::optional<GrayMode> Parse(std::string_view aQuery,
                                       std::string& aReason);

  GrayModeKind kind = GrayModeKind::Healthy;
  double factor = 1;
  double rate = 1;
  std::string customer;
  std::chrono::milliseconds period{ 1'000 };
};

} // namespace filbertbeam
