#include "gateway/PathHealth.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::seconds;

// Doubled for each further failure.
constexpr seconds kFirstAvoidance{ 1 };
constexpr int kMaxDoublings = 3;
// Paths are forgotten this long after their avoidance ended.
constexpr seconds kMemory{ 30 };

} // namespace

void
PathHealth::OnUnreachable(const std::string& aServer, Instant aNow)
{
  Path& path = broken_[aServer];
  path.avoidUntil =
    aNow + kFirstAvoidance * (1 << std::min(path.failures, kMaxDoublings));
  ++path.failures;
}

void
PathHealth::OnReached(const std::string& aServer)
{
  broken_.erase(aServer);
}

std::vector<std::string>
PathHealth::Avoided(Instant aNow)
{
  std::erase_if(broken_, [aNow](const auto& aItem) {
    return aItem.second.avoidUntil + kMemory < aNow;
  });
  std::vector<std::string> servers;
  for (const auto& [server, path] : broken_) {
    if (aNow < path.avoidUntil) {
      servers.push_back(server);
    }
  }
  return servers;
}

} // namespace filbertbeam
