#include "slots/ServerSlots.h"

#include <algorithm>

namespace filbertbeam {

void
ServerSlots::SetSlots(int aSlots)
{
  slots_ = std::max(aSlots, 0);
}

int
ServerSlots::Free(int aLimit) const
{
  return std::max(std::min(aLimit, slots_) - used_, 0);
}

bool
ServerSlots::TryTake()
{
  if (Free() == 0) {
    return false;
  }
  ++used_;
  return true;
}

void
ServerSlots::Release()
{
  used_ = std::max(used_ - 1, 0);
}

} // namespace filbertbeam
