#include "balancing/BurstShare.h"

#include <algorithm>

namespace filbertbeam {

void
BurstShare::Set(double aShare,
                double aAtOnce,
                std::chrono::seconds aWindow,
                Instant aNow)
{
  granted_ = std::max(Granted(aNow), aAtOnce);
  if (aShare <= granted_) {
    granted_ = aShare;
    wanted_ = aShare;
    return;
  }
  if (aShare > wanted_ || wanted_ <= granted_) {
    grantedAt_ = aNow + aWindow;
  }
  wanted_ = aShare;
}

double
BurstShare::Granted(Instant aNow) const
{
  return aNow < grantedAt_ ? granted_ : wanted_;
}

} // namespace filbertbeam
