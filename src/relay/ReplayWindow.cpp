#include "relay/ReplayWindow.h"

namespace filbertbeam {

bool
ReplayWindow::Insert(std::uint64_t aNumber)
{
  if (isEmpty_) {
    isEmpty_ = false;
    highest_ = aNumber;
  } else if (aNumber > highest_) {
    if (aNumber - highest_ >= kSize) {
      received_.reset();
    } else {
      for (std::uint64_t number = highest_ + 1; number <= aNumber; ++number) {
        received_.reset(number % kSize);
      }
    }
    highest_ = aNumber;
  } else if (highest_ - aNumber >= kSize || received_.test(aNumber % kSize)) {
    return false;
  }
  received_.set(aNumber % kSize);
  return true;
}

} // namespace filbertbeam
