#include "slots/ShedPause.h"

#include <algorithm>

namespace filbertbeam {

void
ShedPause::OnShed(Instant aNow)
{
  // Requests that were sent side by side are shed side by side; they are one
  // event.
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
