#pragma once

#include "base/Clock.h"
#include "contracts/Contract.h"

namespace filbertbeam {

// How far the requests of a workspace may exceed its contract: in any window,
// all hosts together send at most (rate * window + burst) * (1 + overshoot) +
// slack.
struct QuotaBound
{
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.1;
  // Requests.
  double slack = 20;

  bool operator==(const QuotaBound&) const = default;

  // Requests of a window that the bound allows beyond the contract.
  double Tolerance(const Contract& aContract) const
  {
    const double seconds = std::chrono::duration<double>(window).count();
    return (aContract.requestsPerSecond * seconds + aContract.burst) *
             overshoot +
           slack;
  }
};

} // namespace filbertbeam
