#include "balancing/IdleConnections.h"

#include <algorithm>
#include <functional>

namespace filbertbeam {

namespace {

// Hosts close idle connections after 7 s. The rest allows for reports that
// arrive late and for the way of the request.
constexpr std::chrono::seconds kIdleTime{ 6 };
// Bounds the memory for one server, and the time to search it.
constexpr std::size_t kMaxConnections = 32;

std::uint64_t
HashOf(std::string_view aHost)
{
  return std::hash<std::string_view>()(aHost);
}

} // namespace

void
IdleConnections::OnAttemptStarted(std::string_view aHost)
{
  // Hosts use the connection that was used last.
  const auto found = std::find_if(
    connections_.rbegin(),
    connections_.rend(),
    [host = HashOf(aHost)](const auto& aItem) { return aItem.host == host; });
  if (found != connections_.rend()) {
    connections_.erase(std::next(found).base());
  }
}

void
IdleConnections::OnResponse(std::string_view aHost, Instant aNow)
{
  std::erase_if(connections_, [aNow](const auto& aItem) {
    return aNow - aItem.idleSince > kIdleTime;
  });
  if (connections_.size() == kMaxConnections) {
    connections_.erase(connections_.begin());
  }
  connections_.push_back({ HashOf(aHost), aNow });
}

bool
IdleConnections::Has(std::string_view aHost, Instant aNow) const
{
  return std::ranges::any_of(
    connections_, [host = HashOf(aHost), aNow](const auto& aItem) {
      return aItem.host == host && aNow - aItem.idleSince <= kIdleTime;
    });
}

} // namespace filbertbeam
