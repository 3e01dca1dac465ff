#pragma once

#include "base/Clock.h"

namespace filbertbeam {

// Time without new work for a backend server that shed a request. A server
// sheds while its own count of slots is above its owner's, for example between
// the end of a response and the release of its slot; without a pause, the next
// queued request would be shed at once, and so on through the whole queue.
class ShedPause
{
public:
  // Doubles the pause with every shed that follows another one.
  void OnShed(Instant aNow);
  // The server ran a request, so it has slots again.
  void OnServed();

  bool IsActive(Instant aNow) const { return aNow < until_; }
  Instant Until() const { return until_; }

private:
  Instant until_;
  Duration nextPause_ = kShortestPause;

  static constexpr Duration kShortestPause = std::chrono::milliseconds(5);
  static constexpr Duration kLongestPause = std::chrono::milliseconds(160);
};

} // namespace filbertbeam
