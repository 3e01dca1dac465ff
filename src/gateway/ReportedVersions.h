#pragma once

#include "balancing/SelectionMessages.h"
#include "base/Clock.h"

#include <deque>

namespace filbertbeam {

// The versions of the catalog's data that peers have reported, and when. A host
// that compares itself with the newest report is always behind while changes go
// on; only a version that was reported some time ago should have been read.
class ReportedVersions
{
public:
  void Report(const KnownVersions& aKnown, Instant aNow);

  const KnownVersions& Newest() const { return newest_; }
  // Returns the newest versions that had been reported by aTime.
  KnownVersions ReportedBy(Instant aTime) const;

private:
  struct Entry
  {
    Instant at;
    KnownVersions versions;
  };

  KnownVersions newest_;
  // Oldest first.
  std::deque<Entry> entries_;
};

} // namespace filbertbeam
