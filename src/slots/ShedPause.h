#pragma once

#include "base/Clock.h"

namespace filbertbeam {

// Time for which a backend server that shed a request is assigned no further
// ones. A server sheds while it counts more slots in use than its owner does,
// for example between the end of a response and the release of its slot;
// without a pause, the next queued request would be shed at once, and so on
// through the whole queue.
class ShedPause
{
public:
  // Starts a pause. Each one is twice as long as the one before, until OnServed
  // is called.
  void OnShed(Instant aNow);
  // Resets the length of the next pause: the server ran a request, so it has
  // free slots again.
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
