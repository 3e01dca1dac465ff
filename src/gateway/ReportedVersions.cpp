#include "gateway/ReportedVersions.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// Reports within this time count as one, which bounds their number.
constexpr milliseconds kResolution{ 50 };
// Hosts that are still behind after this time have been told several times.
constexpr milliseconds kRetention{ 5'000 };

} // namespace

void
ReportedVersions::Report(const KnownVersions& aKnown, Instant aNow)
{
  if (aKnown.configuration <= newest_.configuration &&
      aKnown.directory <= newest_.directory) {
    return;
  }
  newest_.configuration = std::max(newest_.configuration, aKnown.configuration);
  newest_.directory = std::max(newest_.directory, aKnown.directory);
  while (!entries_.empty() && aNow - entries_.front().at > kRetention) {
    entries_.pop_front();
  }
  if (!entries_.empty() && aNow - entries_.back().at < kResolution) {
    entries_.back().versions = newest_;
  } else {
    entries_.push_back({ aNow, newest_ });
  }
}

KnownVersions
ReportedVersions::ReportedBy(Instant aTime) const
{
  KnownVersions versions;
  for (const Entry& entry : entries_) {
    if (entry.at <= aTime) {
      versions = entry.versions;
    }
  }
  return versions;
}

} // namespace filbertbeam
