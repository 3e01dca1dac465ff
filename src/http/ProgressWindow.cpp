#include "http/ProgressWindow.h"

namespace filbertbeam {

bool
ProgressWindow::Check(Instant aNow,
                      Duration aWindow,
                      std::size_t aBytesPerSecond)
{
  if (!isOpen_) {
    isOpen_ = true;
    begin_ = aNow;
    bytes_ = 0;
    return true;
  }
  const Duration elapsed = aNow - begin_;
  if (elapsed < aWindow) {
    return true;
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const bool isFastEnough = static_cast<double>(bytes_) >=
                            static_cast<double>(aBytesPerSecond) * seconds;
  begin_ = aNow;
  bytes_ = 0;
  return isFastEnough;
}

} // namespace filbertbeam
