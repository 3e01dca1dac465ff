#include "gateway/PathHealth.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::seconds;

// Doubled for each further failure, up to kMaxDoublings times.
constexpr seconds kFirstAvoidanceTime{ 1 };
constexpr int kMaxDoublings = 3;
// Failures are discarded this long after the avoidance time has ended.
constexpr seconds kRetentionTime{ 30 };

} // namespace

void
PathHealth::OnUnreachable(const std::string& aServer, Instant aNow)
{
  Path& path = failedPaths_[aServer];
  path.avoidUntil =
    aNow + kFirstAvoidanceTime * (1 << std::min(path.failures, kMaxDoublings));
  ++path.failures;
}

void
PathHealth::OnReached(const std::string& aServer)
{
  failedPaths_.erase(aServer);
}

std::vector<std::string>
PathHealth::AvoidedServers(Instant aNow)
{
  std::erase_if(failedPaths_, [aNow](const auto& aItem) {
    return aItem.second.avoidUntil + kRetentionTime < aNow;
  });
  std::vector<std::string> servers;
  for (const auto& [server, path] : failedPaths_) {
    if (aNow < path.avoidUntil) {
      servers.push_back(server);
    }
  }
  return servers;
}

} // namespace filbertbeam
