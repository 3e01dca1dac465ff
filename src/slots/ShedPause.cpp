#include "slots/ShedPause.h"

#include <algorithm>

namespace filbertbeam {

void
ShedPause::OnShed(Instant aNow)
{
  // Requests that were sent concurrently are also shed at about the same time;
  // they count as one shed.
  if (IsActive(aNow)) {
    return;
  }
  until_ = aNow + nextPause_;
  nextPause_ = std::min(nextPause_ * 2, kLongestPause);
}

void
ShedPause::OnServed()
{
  nextPause_ = kShortestPause;
}

} // namespace filbertbeam
