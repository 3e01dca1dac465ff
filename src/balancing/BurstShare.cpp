#include "balancing/BurstShare.h"

#include <algorithm>

namespace filbertbeam {

void
BurstShare::Set(double aShare,
                double aImmediateShare,
                std::chrono::seconds aWindow,
                Instant aNow)
{
  granted_ = std::max(Granted(aNow), aImmediateShare);
  if (aShare <= granted_) {
    granted_ = aShare;
    target_ = aShare;
    return;
  }
  if (aShare > target_ || target_ <= granted_) {
    targetGrantedAt_ = aNow + aWindow;
  }
  target_ = aShare;
}

double
BurstShare::Granted(Instant aNow) const
{
  return aNow < targetGrantedAt_ ? granted_ : target_;
}

} // namespace filbertbeam
